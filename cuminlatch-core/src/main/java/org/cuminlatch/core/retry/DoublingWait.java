package org.cuminlatch.core.retry;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;

/**
 * The longest wait before a next try, which doubles with each failure up to a limit.
 *
 * @param first wait before any doubling
 * @param limit longest wait of all
 */
public record DoublingWait(Duration first, Duration limit) {

  /** Bounds the doublings where the limit does not, against overflow. */
  private static final int MOST_DOUBLINGS = 16;

  /** Checks the fields. */
  public DoublingWait {
    notNull(first, "first");
    notNull(limit, "limit");
  }

  /**
   * Returns the longest wait.
   *
   * @param doublings failures that count, 0 for the first wait
   * @return the wait, the limit at most
   */
  public Duration longest(int doublings) {
    check(doublings >= 0, "doublings", "must not be negative");
    Duration doubled = first.multipliedBy(1L << Math.min(doublings, MOST_DOUBLINGS));
    return doubled.compareTo(limit) < 0 ? doubled : limit;
  }
}
