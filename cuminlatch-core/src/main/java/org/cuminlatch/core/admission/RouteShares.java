package org.cuminlatch.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** Slots that each route holds and may hold at most while several routes are active. */
final class RouteShares {

  /** A route counts as active for this time after its last request. */
  static final Duration ACTIVE_WINDOW = Duration.ofSeconds(60);

  /** One slot in this many is reserved for the other routes. */
  static final int RESERVED_DIVISOR = 4;

  private final Map<String, Integer> heldByRoute = new HashMap<>();
  private final Map<String, Instant> lastRequestAt = new HashMap<>();

  void onRequest(String route, Instant now) {
    lastRequestAt.put(route, now);
  }

  void onSlotHeld(String route) {
    heldByRoute.merge(route, 1, Integer::sum);
  }

  void onSlotReleased(String route) {
    heldByRoute.computeIfPresent(route, (name, count) -> count > 1 ? count - 1 : null);
  }

  int heldBy(String route) {
    return heldByRoute.getOrDefault(route, 0);
  }

  double equalShare(int limit, Instant now) {
    return (double) limit / activeRoutes(now);
  }

  /** Returns the maximum for one route; some slots stay reserved for the other active routes. */
  int maxSlots(int limit, Instant now) {
    if (activeRoutes(now) <= 1) {
      return limit;
    }
    int reserved = Math.max(1, limit / RESERVED_DIVISOR);
    return Math.max(1, limit - reserved);
  }

  private int activeRoutes(Instant now) {
    if (lastRequestAt.size() > 1) {
      lastRequestAt.values().removeIf(time -> time.plus(ACTIVE_WINDOW).isBefore(now));
    }
    return Math.max(1, lastRequestAt.size());
  }
}
