package org.cuminlatch.core.move;

import org.cuminlatch.core.move.Evidence.RouteEvidence;

/** Compares failures and latencies of both versions over the same period by the effect size. */
final class EffectSizeComparison {

  private static final double FAILURE_RATIO = 2.5;
  private static final double FAILURE_EXCESS = 0.03;
  private static final double LATENCY_RATIO = 1.8;
  private static final long MIN_TIMED_CALLS = 5;

  private EffectSizeComparison() {}

  /**
   * Returns whether the new version failed clearly more often or was clearly slower than the old
   * one, over all routes or on any single route.
   */
  static boolean isNewVersionWorse(Evidence recent) {
    RouteEvidence allRoutes =
        new RouteEvidence(recent.total(EvidenceRow.Side.OLD), recent.total(EvidenceRow.Side.NEW));
    return isNewVersionWorse(allRoutes)
        || recent.routes().values().stream().anyMatch(EffectSizeComparison::isNewVersionWorse);
  }

  private static boolean isNewVersionWorse(RouteEvidence route) {
    CallCounts oldCounts = route.oldCounts();
    CallCounts newCounts = route.newCounts();
    boolean failsMore =
        failureRate(newCounts) >= FAILURE_RATIO * failureRate(oldCounts) + FAILURE_EXCESS;
    boolean slower =
        newCounts.timedCalls() >= MIN_TIMED_CALLS
            && oldCounts.timedCalls() >= MIN_TIMED_CALLS
            && meanMillis(newCounts) >= LATENCY_RATIO * meanMillis(oldCounts);
    return failsMore || slower;
  }

  private static double failureRate(CallCounts counts) {
    return counts.calls() == 0 ? 0 : (double) counts.failures() / counts.calls();
  }

  private static double meanMillis(CallCounts counts) {
    double sum = 0;
    for (int bucket = 0; bucket < counts.latencies().size(); bucket++) {
      sum += counts.callsInBucket(bucket) * LatencyBuckets.upperBoundMillis(bucket);
    }
    return sum / counts.timedCalls();
  }
}
