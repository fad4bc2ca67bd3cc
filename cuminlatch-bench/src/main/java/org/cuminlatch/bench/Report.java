package org.cuminlatch.bench;

import java.time.Instant;

/**
 * Figures of a run together with what is needed to repeat it.
 *
 * @param experiment name of the experiment
 * @param command command line that gives the same workload
 * @param date when the run ended
 * @param machine where it ran
 * @param results the figures
 */
record Report(String experiment, String command, Instant date, Machine machine, Results results) {}
