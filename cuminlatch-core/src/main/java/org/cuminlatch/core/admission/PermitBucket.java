package org.cuminlatch.core.admission;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;

/**
 * Token bucket for requests that are sent to one target. It has no limit at first; a limit starts
 * with an empty bucket. Not thread-safe.
 */
final class PermitBucket {

  /**
   * Time in which unused permits accumulate. Long enough for requests that arrive together, and
   * short enough that the target gets no noticeable excess.
   */
  static final Duration BURST_INTERVAL = Duration.ofMillis(250);

  /**
   * Lowest rate in requests per second. A target with a lower one, or 0, still gets a request now
   * and then, as only an answer can tell that the limit has ended.
   */
  static final double MIN_RATE_PER_SECOND = 0.5;

  private static final double NANOS_PER_SECOND = 1e9;

  private double ratePerSecond = Double.POSITIVE_INFINITY;
  private double permits;
  private Instant permitsAt = Instant.MIN;

  /** Sets the rate in requests per second, infinite for no limit. */
  void setRate(double perSecond, Instant now) {
    refill(now);
    ratePerSecond = Math.max(MIN_RATE_PER_SECOND, perSecond);
    permits = isLimited() ? Math.min(permits, maxPermits()) : 0;
  }

  double ratePerSecond() {
    return ratePerSecond;
  }

  boolean isLimited() {
    return ratePerSecond != Double.POSITIVE_INFINITY;
  }

  boolean hasPermit(Instant now) {
    refill(now);
    return !isLimited() || permits >= 1;
  }

  /** Takes a permit, which must be there. */
  void take() {
    permits -= isLimited() ? 1 : 0;
  }

  /** Returns the time until a number of requests may have been sent. */
  Duration timeUntilPermitted(int requests, Instant now) {
    refill(now);
    if (!isLimited() || permits >= requests) {
      return Duration.ZERO;
    }
    return Duration.ofNanos(
        (long) Math.ceil((requests - permits) / ratePerSecond * NANOS_PER_SECOND));
  }

  private double maxPermits() {
    return Math.max(1, ratePerSecond * BURST_INTERVAL.toNanos() / NANOS_PER_SECOND);
  }

  /** Adds the permits of the time since the last call; without a limit, none accumulate. */
  private void refill(Instant now) {
    notNull(now, "now");
    if (isLimited() && now.isAfter(permitsAt)) {
      double elapsedNanos = Duration.between(permitsAt, now).toNanos();
      permits = Math.min(maxPermits(), permits + elapsedNanos * ratePerSecond / NANOS_PER_SECOND);
    }
    permitsAt = now.isAfter(permitsAt) ? now : permitsAt;
  }
}
