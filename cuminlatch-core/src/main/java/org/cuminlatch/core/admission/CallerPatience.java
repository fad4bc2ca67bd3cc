package org.cuminlatch.core.admission;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates for how long a caller has already waited when its request arrives.
 *
 * <p>A caller that was refused comes back with the time that it has left. Its goal has been running
 * since its first request, so that an answer to it is late sooner than that to a new request. Under
 * load that exceeds capacity, slots should go to requests that can still be answered in time.
 *
 * <p>Callers of a route allow a fixed time, which most of the latest requests are close to. What a
 * request allows less, its caller has already spent: on earlier requests, or on its connection. On
 * a route whose requests allow very different times, as with calls that inherit the deadline of a
 * running request, nothing can be told, and no wait is assumed. Not thread-safe.
 */
public final class CallerPatience {

  /** Number of the latest requests of a route that are taken into account. */
  static final int SAMPLES = 64;

  /** Requests from which the fixed time of a route is estimated again. */
  private static final int UPDATE_INTERVAL = 16;

  /** Quantile of the allowed times that counts as the fixed time; a few may be exceptions. */
  private static final double FIXED_TIME_QUANTILE = 0.8;

  /** Share of the fixed time from which on a request counts as new. */
  private static final double NEW_REQUEST_SHARE = 0.85;

  /** Share of new requests below which the allowed times tell nothing. */
  private static final double MIN_NEW_REQUESTS = 0.4;

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
    long waited =
        estimates
            .computeIfAbsent(route, unused -> new RouteEstimate())
            .waitedBefore(allowed.toNanos());
    return Duration.ofNanos(waited);
  }

  private static final class RouteEstimate {

    private final long[] allowedNanos = new long[SAMPLES];
    private int count;

    /** Estimated fixed time, 0 while it can't be told. */
    private long fixedNanos;

    long waitedBefore(long allowed) {
      allowedNanos[count % SAMPLES] = allowed;
      count++;
      if (count % UPDATE_INTERVAL == 0) {
        update();
      }
      return Math.max(0, fixedNanos - allowed);
    }

    private void update() {
      long[] sorted = Arrays.copyOf(allowedNanos, Math.min(count, SAMPLES));
      Arrays.sort(sorted);
      long fixed = sorted[(int) (FIXED_TIME_QUANTILE * (sorted.length - 1))];
      double tolerance = NEW_REQUEST_SHARE;
      long newRequests =
          Arrays.stream(sorted)
              .filter(allowed -> allowed >= fixed * tolerance && allowed * tolerance <= fixed)
              .count();
      fixedNanos = newRequests >= MIN_NEW_REQUESTS * sorted.length ? fixed : 0;
    }
  }
}
