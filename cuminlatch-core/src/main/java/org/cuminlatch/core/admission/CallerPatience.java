package org.cuminlatch.core.admission;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates for how long a caller has already waited when its request arrives.
 *
 * <p>A caller that was refused comes back with the time that it has left. Its goal has been running
 * since its first request, so that an answer to it is late sooner than that to a new request. Under
 * load that exceeds capacity, slots should go to requests that can still be answered in time.
 *
 * <p>Callers of a route allow a fixed time, which is the longest that is seen. What a request
 * allows less, its caller has already spent: on earlier requests, or on its connection. On a route
 * whose requests seldom allow about the longest time, as with calls that inherit the deadline of a
 * running request, nothing can be told, and no wait is assumed. Not thread-safe.
 */
public final class CallerPatience {

  /** Share of the longest time from which on a request counts as new. */
  private static final double NEW_REQUEST_SHARE = 0.85;

  /** Share of new requests below which the times that a route's requests allow tell nothing. */
  private static final double MIN_NEW_REQUESTS = 0.3;

  /** Weight of the latest request in the share of new ones. */
  private static final double SMOOTHING = 0.02;

  private final Map<String, RouteEstimate> estimates = new HashMap<>();

  /**
   * Records a request and returns how much of its time the caller has probably spent.
   *
   * @param route name of the route
   * @param allowed time that the caller allows for the answer
   * @return estimated time since the caller's first attempt to send a request
   */
  public Duration waitedBefore(String route, Duration allowed) {
    notBlank(route, "route");
    notNull(allowed, "allowed");
    return estimates.computeIfAbsent(route, unused -> new RouteEstimate()).waitedBefore(allowed);
  }

  private static final class RouteEstimate {

    private Duration longest = Duration.ZERO;
    private double newShare = 1;

    Duration waitedBefore(Duration allowed) {
      if (allowed.compareTo(longest) > 0) {
        longest = allowed;
      }
      boolean isNew = allowed.toNanos() >= longest.toNanos() * NEW_REQUEST_SHARE;
      newShare += SMOOTHING * ((isNew ? 1 : 0) - newShare);
      return newShare < MIN_NEW_REQUESTS ? Duration.ZERO : longest.minus(allowed);
    }
  }
}
