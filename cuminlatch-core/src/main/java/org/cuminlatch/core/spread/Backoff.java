package org.cuminlatch.core.spread;

import java.time.Duration;
import java.time.Instant;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.retry.ExponentialBackoff;

/**
 * Exponential backoff with full jitter.
 *
 * <p>Source: Brooker, "Exponential Backoff and Jitter" (2015).
 */
final class Backoff {

  private final ExponentialBackoff wait;
  private final RandomGenerator random;
  private int failures;
  private Instant until = Instant.EPOCH;

  Backoff(Duration base, Duration limit, RandomGenerator random) {
    this.wait = new ExponentialBackoff(base, limit);
    this.random = random;
  }

  boolean isOver(Instant now) {
    return !until.isAfter(now);
  }

  void failed(Instant now) {
    waitUpTo(wait.maxDelayAfter(failures), now);
    failures++;
  }

  void succeeded() {
    failures = 0;
  }

  void waitUpTo(Duration longest, Instant now) {
    until = now.plusNanos((long) (random.nextDouble() * longest.toNanos()));
  }
}
