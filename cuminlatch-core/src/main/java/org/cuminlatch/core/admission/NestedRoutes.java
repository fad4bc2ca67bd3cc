package org.cuminlatch.core.admission;

import static org.cuminlatch.core.Preconditions.notBlank;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns on which routes the local target makes calls while it runs a request.
 *
 * <p>Such a call ends at the deadline of the request that made it, so that it arrives with the
 * deadline of a request that the target is running. The deadline of a client's request matches one
 * of them only by chance. Not thread-safe.
 */
public final class NestedRoutes {

  /** Share of matches above which a route counts as nested; chance gives some 0.1. */
  static final double MIN_MATCHES = 0.6;

  /** Requests of a route that have to be seen before it counts as nested. */
  static final int MIN_REQUESTS = 16;

  /** Number of the latest requests that the share is smoothed over. */
  private static final int SMOOTHING_REQUESTS = 32;

  private final Map<String, Matches> matchesByRoute = new HashMap<>();

  private static final class Matches {
    private int requests;
    private double share;
  }

  /**
   * Records a request of the local machine.
   *
   * @param route name of its route
   * @param matches whether it ends at the deadline of a request that the local target is running
   */
  public void observe(String route, boolean matches) {
    Matches known = matchesByRoute.computeIfAbsent(notBlank(route, "route"), name -> new Matches());
    known.requests = Math.min(SMOOTHING_REQUESTS, known.requests + 1);
    known.share += ((matches ? 1 : 0) - known.share) / known.requests;
  }

  /**
   * Returns whether the requests of a route are calls of the local target.
   *
   * @param route name of the route
   * @return true if most of them were recognized as such
   */
  public boolean isNested(String route) {
    Matches known = matchesByRoute.get(route);
    return known != null && known.requests >= MIN_REQUESTS && known.share >= MIN_MATCHES;
  }
}
