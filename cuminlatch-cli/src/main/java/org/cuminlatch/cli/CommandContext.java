package org.cuminlatch.cli;

import java.time.InstantSource;
import java.util.random.RandomGenerator;

/**
 * What a verb works with.
 *
 * @param console where it writes to
 * @param clock the time
 * @param random source of random numbers
 * @param pause waits between attempts
 */
record CommandContext(Console console, InstantSource clock, RandomGenerator random, Pause pause) {}
