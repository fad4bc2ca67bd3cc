package org.cuminlatch.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.cuminlatch.core.retry.AttemptId;

/** The attempts that hold a slot of a target; a slot is released by the attempt that holds it. */
final class HeldSlots {

  private final Map<AttemptId, Held> held = new HashMap<>();

  int count() {
    return held.size();
  }

  void hold(AttemptId attempt, String route, Instant now) {
    held.put(attempt, new Held(route, now));
  }

  /** Releases the slot of an attempt, empty if it holds none. */
  Optional<Released> release(AttemptId attempt, Instant now) {
    return Optional.ofNullable(held.remove(attempt))
        .map(slot -> new Released(slot.route(), Duration.between(slot.since(), now)));
  }

  /** Returns a sum over all slots of what a route counts. */
  double sum(ToDoubleFunction<String> ofRoute) {
    double sum = 0;
    for (Held slot : held.values()) {
      sum += ofRoute.applyAsDouble(slot.route());
    }
    return sum;
  }

  private record Held(String route, Instant since) {}

  /** A slot that was released: the route of its attempt and how long it was held. */
  record Released(String route, Duration used) {}
}
