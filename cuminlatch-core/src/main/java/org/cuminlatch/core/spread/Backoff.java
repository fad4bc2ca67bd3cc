package org.cuminlatch.core.spread;

import java.time.Duration;
import java.time.Instant;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter.
 *
 * <p>Source: Brooker, "Exponential Backoff and Jitter" (2015).
 */
final class Backoff {

  private static final int MAX_DOUBLINGS = 16;

  private final Duration base;
  private final Duration limit;
  private final RandomGenerator random;
  private int failures;
  private Instant until = Instant.EPOCH;

  Backoff(Duration base, Duration limit, RandomGenerator random) {
    this.base = base;
    this.limit = limit;
    this.random = random;
  }

  boolean isOver(Instant now) {
    return !until.isAfter(now);
  }

  void failed(Instant now) {
    Duration longest = base.multipliedBy(1L << Math.min(failures, MAX_DOUBLINGS));
    failures++;
    waitUpTo(longest.compareTo(limit) < 0 ? longest : limit, now);
  }

  void succeeded() {
    failures = 0;
  }

  void waitUpTo(Duration longest, Instant now) {
    until = now.plusNanos((long) (random.nextDouble() * longest.toNanos()));
  }
}
