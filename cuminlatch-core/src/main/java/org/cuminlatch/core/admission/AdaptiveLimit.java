package org.cuminlatch.core.admission;

import java.time.Duration;
import java.time.Instant;

/**
 * Concurrency limit of a target, lowered while the target sheds load or times out.
 *
 * <p>Additive increase and multiplicative decrease, as in D. Chiu and R. Jain, Analysis of the
 * Increase and Decrease Algorithms for Congestion Avoidance in Computer Networks, 1989.
 */
final class AdaptiveLimit {

  static final double DECREASE_FACTOR = 0.8;
  static final Duration MIN_DECREASE_INTERVAL = Duration.ofMillis(200);

  private final int maxLimit;
  private double limit;
  private Instant lastDecrease = Instant.MIN;

  AdaptiveLimit(int maxLimit) {
    this.maxLimit = maxLimit;
    this.limit = maxLimit;
  }

  int value() {
    return (int) limit;
  }

  void onSuccess() {
    limit = Math.min(maxLimit, limit + 1 / limit);
  }

  void onOverload(Instant now) {
    if (now.isBefore(lastDecrease.plus(MIN_DECREASE_INTERVAL))) {
      return;
    }
    lastDecrease = now;
    limit = Math.max(1, limit * DECREASE_FACTOR);
  }
}
