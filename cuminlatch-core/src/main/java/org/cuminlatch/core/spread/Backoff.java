package org.cuminlatch.core.spread;

import java.time.Duration;
import java.time.Instant;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.retry.ExponentialBackoff;

/**
 * Exponential backoff with full jitter between attempts.
 *
 * <p>Source: Brooker, "Exponential Backoff and Jitter" (2015).
 */
final class Backoff {

  private final ExponentialBackoff doublingDelay;
  private final RandomGenerator random;
  private int failures;
  private Instant elapsesAt = Instant.EPOCH;

  Backoff(Duration baseDelay, Duration maxBackoff, RandomGenerator random) {
    this.doublingDelay = new ExponentialBackoff(baseDelay, maxBackoff);
    this.random = random;
  }

  /** Returns whether the current delay has elapsed. */
  boolean isElapsed(Instant now) {
    return !elapsesAt.isAfter(now);
  }

  /** Starts the next delay; its maximum doubles with each failure since the last success. */
  void onFailure(Instant now) {
    delayUpTo(doublingDelay.maxDelayAfter(failures), now);
    failures++;
  }

  void onSuccess() {
    failures = 0;
  }

  /** Starts a random delay up to a maximum. */
  void delayUpTo(Duration maxDelay, Instant now) {
    elapsesAt = now.plusNanos((long) (random.nextDouble() * maxDelay.toNanos()));
  }
}
