package org.cuminlatch.core.move;

import org.cuminlatch.core.move.Evidence.RouteEvidence;

/** Compares what both versions did in the same short time, by the size of the difference. */
final class EffectSizeComparison {

  private static final double FAILURE_RATIO = 2.5;
  private static final double FAILURE_EXCESS = 0.03;
  private static final double LATENCY_RATIO = 1.8;
  private static final long LEAST_TIMED = 5;

  private EffectSizeComparison() {}

  /** Returns whether the new version failed or was slow clearly more than the old one. */
  static boolean isWorse(Evidence recent) {
    RouteEvidence all =
        new RouteEvidence(recent.total(EvidenceRow.Side.OLD), recent.total(EvidenceRow.Side.NEW));
    return isWorse(all) || recent.routes().values().stream().anyMatch(EffectSizeComparison::isWorse);
  }

  private static boolean isWorse(RouteEvidence route) {
    Counts old = route.old();
    Counts fresh = route.fresh();
    boolean fails = failureShare(fresh) >= FAILURE_RATIO * failureShare(old) + FAILURE_EXCESS;
    boolean slow =
        fresh.timed() >= LEAST_TIMED
            && old.timed() >= LEAST_TIMED
            && meanMillis(fresh) >= LATENCY_RATIO * meanMillis(old);
    return fails || slow;
  }

  private static double failureShare(Counts counts) {
    return counts.calls() == 0 ? 0 : (double) counts.failures() / counts.calls();
  }

  private static double meanMillis(Counts counts) {
    double sum = 0;
    for (int bucket = 0; bucket < counts.latencies().size(); bucket++) {
      sum += counts.latency(bucket) * LatencyBuckets.upperBoundMillis(bucket);
    }
    return sum / counts.timed();
  }
}
