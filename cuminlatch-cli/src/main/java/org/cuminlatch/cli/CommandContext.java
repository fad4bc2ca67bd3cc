package org.cuminlatch.cli;

import java.time.InstantSource;
import java.util.random.RandomGenerator;

/**
 * Environment in which a verb runs.
 *
 * @param console output streams
 * @param clock source of the current time
 * @param random source of random numbers
 * @param sleeper blocks between attempts
 */
record CommandContext(
    Console console, InstantSource clock, RandomGenerator random, Sleeper sleeper) {}
