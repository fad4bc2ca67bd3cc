package org.cuminlatch.core.retry;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;

/**
 * Exponential backoff: the delay before a retry doubles with each failure, up to a maximum.
 *
 * @param initialDelay delay before the first doubling
 * @param maxDelay maximum delay
 */
public record ExponentialBackoff(Duration initialDelay, Duration maxDelay) {

  /** Prevents an overflow when the maximum delay is very long. */
  private static final int MAX_DOUBLINGS = 16;

  /** Validates the components. */
  public ExponentialBackoff {
    notNull(initialDelay, "initialDelay");
    notNull(maxDelay, "maxDelay");
  }

  /**
   * Returns the delay after a number of doublings.
   *
   * @param doublings how often the delay has doubled; 0 for the first delay
   * @return the delay, at most the maximum; an upper bound for callers that add jitter
   */
  public Duration maxDelayAfter(int doublings) {
    check(doublings >= 0, "doublings", "must not be negative");
    Duration doubled = initialDelay.multipliedBy(1L << Math.min(doublings, MAX_DOUBLINGS));
    return doubled.compareTo(maxDelay) < 0 ? doubled : maxDelay;
  }
}
