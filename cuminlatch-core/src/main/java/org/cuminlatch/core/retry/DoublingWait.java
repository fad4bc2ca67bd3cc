package org.cuminlatch.core.retry;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;

/**
 * Exponential backoff: the delay before a retry doubles with each failure, up to a maximum.
 *
 * @param first delay before the first doubling
 * @param limit maximum delay
 */
public record DoublingWait(Duration first, Duration limit) {

  /** Prevents an overflow when the maximum delay is very long. */
  private static final int MAX_DOUBLINGS = 16;

  /** Validates the components. */
  public DoublingWait {
    notNull(first, "first");
    notNull(limit, "limit");
  }

  /**
   * Returns the delay after a number of doublings.
   *
   * @param doublings how often the delay has doubled; 0 for the first delay
   * @return the delay, at most the maximum; an upper bound for callers that add jitter
   */
  public Duration longest(int doublings) {
    check(doublings >= 0, "doublings", "must not be negative");
    Duration doubled = first.multipliedBy(1L << Math.min(doublings, MAX_DOUBLINGS));
    return doubled.compareTo(limit) < 0 ? doubled : limit;
  }
}
