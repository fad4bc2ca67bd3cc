package org.cuminlatch.core.admission;

import java.time.Duration;
import java.time.Instant;

/**
 * Requests that a target takes at a time, lowered while the target sheds load or times out.
 *
 * <p>Additive increase and multiplicative decrease, as in D. Chiu and R. Jain, Analysis of the
 * Increase and Decrease Algorithms for Congestion Avoidance in Computer Networks, 1989.
 */
final class AdaptiveLimit {

  static final double DECREASE = 0.8;
  static final Duration LEAST_BETWEEN_DECREASES = Duration.ofMillis(200);

  private final int slots;
  private double limit;
  private Instant decreasedAt = Instant.MIN;

  AdaptiveLimit(int slots) {
    this.slots = slots;
    this.limit = slots;
  }

  int value() {
    return (int) limit;
  }

  void succeeded() {
    limit = Math.min(slots, limit + 1 / limit);
  }

  void overloaded(Instant now) {
    if (now.isBefore(decreasedAt.plus(LEAST_BETWEEN_DECREASES))) {
      return;
    }
    decreasedAt = now;
    limit = Math.max(1, limit * DECREASE);
  }
}
