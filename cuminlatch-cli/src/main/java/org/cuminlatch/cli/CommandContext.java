package org.cuminlatch.cli;

import java.time.InstantSource;

/**
 * What a verb works with.
 *
 * @param console where it writes to
 * @param clock the time
 */
record CommandContext(Console console, InstantSource clock) {}
