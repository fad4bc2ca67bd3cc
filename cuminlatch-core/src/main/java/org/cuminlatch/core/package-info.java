/**
 * Decisions of cuminlatch as pure state machines.
 *
 * <p>Nothing below this package performs input or output, starts a thread or reads a clock of its
 * own: events and the time go in, effects come out.
 */
package org.cuminlatch.core;
