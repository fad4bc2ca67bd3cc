package org.cuminlatch.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** Slots held by each route and what each may hold while several are in use. */
final class RouteShares {

  static final Duration IN_USE = Duration.ofSeconds(60);
  static final int RESERVED_FRACTION = 4;

  private final Map<String, Integer> heldByRoute = new HashMap<>();
  private final Map<String, Instant> seenAt = new HashMap<>();

  void seen(String route, Instant now) {
    seenAt.put(route, now);
  }

  void held(String route) {
    heldByRoute.merge(route, 1, Integer::sum);
  }

  void released(String route) {
    heldByRoute.computeIfPresent(route, (name, count) -> count > 1 ? count - 1 : null);
  }

  int heldBy(String route) {
    return heldByRoute.getOrDefault(route, 0);
  }

  double equalShare(int limit, Instant now) {
    return (double) limit / inUse(now);
  }

  /** Returns the most slots for one route; some stay free for the others in use. */
  int most(int limit, Instant now) {
    if (inUse(now) <= 1) {
      return limit;
    }
    int reserved = Math.max(1, limit / RESERVED_FRACTION);
    return Math.max(1, limit - reserved);
  }

  private int inUse(Instant now) {
    if (seenAt.size() > 1) {
      seenAt.values().removeIf(time -> time.plus(IN_USE).isBefore(now));
    }
    return Math.max(1, seenAt.size());
  }
}
