package org.cuminlatch.core.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Smoothed time that a target takes per request of each route.
 *
 * <p>Mean and mean deviation are smoothed as in V. Jacobson, Congestion Avoidance and Control,
 * 1988.
 */
final class ServiceTimes {

  private static final double MEAN_SMOOTHING = 0.125;
  private static final double DEVIATION_SMOOTHING = 0.25;

  private final Map<String, Estimate> estimates = new HashMap<>();

  void observed(String route, Duration time) {
    double nanos = time.toNanos();
    Estimate known = estimates.get(route);
    estimates.put(route, known == null ? new Estimate(nanos, 0) : known.with(nanos));
  }

  double meanNanos(String route) {
    Estimate known = estimates.get(route);
    return known == null ? 0 : known.mean();
  }

  /** Returns a time within which most requests of the route end. */
  double likelyNanos(String route) {
    Estimate known = estimates.get(route);
    return known == null ? 0 : known.mean() + known.deviation();
  }

  private record Estimate(double mean, double deviation) {

    Estimate with(double nanos) {
      double error = nanos - mean;
      return new Estimate(
          mean + MEAN_SMOOTHING * error,
          deviation + DEVIATION_SMOOTHING * (Math.abs(error) - deviation));
    }
  }
}
