package org.cuminlatch.core.account;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Instant;

/**
 * What the two clocks of a machine show at one moment.
 *
 * @param monotonicNanos the monotonic clock, which stands still while the machine is suspended
 * @param timeOfDay the time of day, which may be set forward and back
 */
public record ClockReading(long monotonicNanos, Instant timeOfDay) {

  /** Checks the fields. */
  public ClockReading {
    notNull(timeOfDay, "timeOfDay");
  }
}
