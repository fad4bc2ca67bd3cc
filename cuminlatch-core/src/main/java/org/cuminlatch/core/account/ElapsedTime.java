package org.cuminlatch.core.account;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;

/**
 * Upper bound of the time that has passed on a machine that may be suspended and whose time of day
 * may be set.
 *
 * <p>Between two readings, the larger step of the two clocks counts: the monotonic clock misses the
 * time of a suspension, and the time of day misses what it is set back by. A suspension is
 * undercounted only if the time of day is set back between the same two readings, so readings must
 * be frequent. Not thread-safe.
 */
public final class ElapsedTime {

  private ClockReading last;
  private Duration elapsed = Duration.ZERO;

  /**
   * Starts at zero.
   *
   * @param first reading at the start
   */
  public ElapsedTime(ClockReading first) {
    this.last = notNull(first, "first");
  }

  /**
   * Adds the time since the last reading.
   *
   * @param reading the clocks now
   * @return upper bound of the time since the start; never less than the one returned before
   */
  public Duration advance(ClockReading reading) {
    notNull(reading, "reading");
    Duration monotonicStep = Duration.ofNanos(reading.monotonicNanos() - last.monotonicNanos());
    Duration timeOfDayStep = Duration.between(last.timeOfDay(), reading.timeOfDay());
    Duration step = monotonicStep.compareTo(timeOfDayStep) > 0 ? monotonicStep : timeOfDayStep;
    if (!step.isNegative()) {
      elapsed = elapsed.plus(step);
    }
    last = reading;
    return elapsed;
  }
}
