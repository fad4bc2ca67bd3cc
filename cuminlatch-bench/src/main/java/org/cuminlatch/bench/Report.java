package org.cuminlatch.bench;

import java.time.Instant;

/**
 * Results of a run with the information needed to repeat it.
 *
 * @param experiment name of the experiment
 * @param command command line that produces the same workload
 * @param date time at which the run ended
 * @param machine machine on which it ran
 * @param results the measured values
 */
record Report(String experiment, String command, Instant date, Machine machine, Results results) {}
