package org.cuminlatch.core.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Smoothed service time of a target for the requests of each route.
 *
 * <p>Mean and mean deviation are smoothed as in V. Jacobson, Congestion Avoidance and Control,
 * 1988.
 */
final class ServiceTimes {

  private static final double MEAN_SMOOTHING = 0.125;
  private static final double DEVIATION_SMOOTHING = 0.25;

  private final Map<String, Estimate> estimates = new HashMap<>();

  void observe(String route, Duration time) {
    double nanos = time.toNanos();
    Estimate estimate = estimates.get(route);
    estimates.put(route, estimate == null ? new Estimate(nanos, 0) : estimate.update(nanos));
  }

  double meanNanos(String route) {
    Estimate estimate = estimates.get(route);
    return estimate == null ? 0 : estimate.mean();
  }

  /** Returns a time within which most requests of the route complete; 0 if none is recorded. */
  double upperBoundNanos(String route) {
    Estimate estimate = estimates.get(route);
    return estimate == null ? 0 : estimate.mean() + estimate.deviation();
  }

  private record Estimate(double mean, double deviation) {

    Estimate update(double nanos) {
      double error = nanos - mean;
      return new Estimate(
          mean + MEAN_SMOOTHING * error,
          deviation + DEVIATION_SMOOTHING * (Math.abs(error) - deviation));
    }
  }
}
