package org.cuminlatch.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.cuminlatch.core.retry.AttemptId;

/** Slots of a target that are in use, by the attempt that holds each; only it can release it. */
final class HeldSlots {

  private final Map<AttemptId, Held> held = new HashMap<>();

  int count() {
    return held.size();
  }

  void hold(AttemptId attempt, String route, Instant now) {
    held.put(attempt, new Held(route, now));
  }

  /** Releases the slot of an attempt; returns empty if it holds none. */
  Optional<Released> release(AttemptId attempt, Instant now) {
    return Optional.ofNullable(held.remove(attempt))
        .map(slot -> new Released(slot.route(), Duration.between(slot.since(), now)));
  }

  /** Returns the sum of a value per route over all held slots. */
  double sum(ToDoubleFunction<String> valueOfRoute) {
    double sum = 0;
    for (Held slot : held.values()) {
      sum += valueOfRoute.applyAsDouble(slot.route());
    }
    return sum;
  }

  private record Held(String route, Instant since) {}

  /** A released slot, with the route of its attempt and the time for which it was held. */
  record Released(String route, Duration heldFor) {}
}
