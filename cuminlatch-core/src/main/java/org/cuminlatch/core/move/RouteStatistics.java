package org.cuminlatch.core.move;

import java.time.Instant;

/** Sequential tests for failures and slow calls of one route, or of all routes together. */
final class RouteStatistics {

  private static final double[] FAILURE_ALTERNATIVES = {0.03, 0.15, 0.6};
  private static final double[] LATENCY_ALTERNATIVES = {0.1, 0.35, 0.75};
  private static final double TOLERATED_RATIO = 1.5;
  private static final double TOLERATED_FAILURE_RATE = 0.01;
  private static final double TOLERATED_SLOW_RATE = 0.05;
  private static final double MAX_BASELINE_SLOW_SHARE = 0.05;
  private static final long MIN_TIMED_CALLS_FOR_BASELINE = 50;

  private final Baseline failureBaseline = new Baseline();
  private final SequentialTest failures = new SequentialTest(FAILURE_ALTERNATIVES);
  private final SequentialTest latencies = new SequentialTest(LATENCY_ALTERNATIVES);
  private Baseline slowBaseline = new Baseline();
  private CallCounts previousOldCounts = CallCounts.NONE;
  private CallCounts previousNewCounts = CallCounts.NONE;
  private int slowBucket = -1;

  /** Calls to the new version since the previous evaluation and the bounds that apply to them. */
  record Increment(
      long failures,
      long calls,
      double failureBound,
      long slowCalls,
      long timedCalls,
      double slowBound) {}

  /** Takes cumulative counts and returns the increase since the previous ones. */
  Increment nextIncrement(CallCounts oldCounts, CallCounts newCounts, Instant now) {
    CallCounts oldAdded = oldCounts.since(previousOldCounts);
    previousOldCounts = previousOldCounts.join(oldCounts);
    failureBaseline.add(Math.min(oldAdded.failures(), oldAdded.calls()), oldAdded.calls(), now);
    double failureBound = failureBaseline.upperBound() * TOLERATED_RATIO + TOLERATED_FAILURE_RATE;
    double slowBound = slowBound(oldAdded, now);
    CallCounts newAdded = newCounts.since(previousNewCounts);
    previousNewCounts = previousNewCounts.join(newCounts);
    long slowCalls = slowBucket < 0 ? 0 : newAdded.callsAtOrAbove(slowBucket);
    return new Increment(
        Math.min(newAdded.failures(), newAdded.calls()),
        newAdded.calls(),
        failureBound,
        slowCalls,
        newAdded.timedCalls(),
        slowBound);
  }

  void update(Increment increment) {
    failures.update(increment.failures(), increment.calls(), increment.failureBound());
    latencies.update(increment.slowCalls(), increment.timedCalls(), increment.slowBound());
  }

  void addChangePoint(double weight) {
    failures.addChangePoint(weight);
    latencies.addChangePoint(weight);
  }

  double failureLogValue() {
    return failures.logValue();
  }

  double latencyLogValue() {
    return latencies.logValue();
  }

  double slowThresholdMillis() {
    return slowBucket < 1 ? 0 : LatencyBuckets.upperBoundMillis(slowBucket - 1);
  }

  int slowBucket() {
    return slowBucket;
  }

  private double slowBound(CallCounts oldAdded, Instant now) {
    int bucket = chooseSlowBucket();
    if (bucket < 0) {
      return 1;
    }
    if (bucket != slowBucket) {
      slowBucket = bucket;
      slowBaseline = new Baseline();
      slowBaseline.add(
          previousOldCounts.callsAtOrAbove(bucket), previousOldCounts.timedCalls(), now);
    } else {
      slowBaseline.add(oldAdded.callsAtOrAbove(bucket), oldAdded.timedCalls(), now);
    }
    return Math.min(1, slowBaseline.upperBound() * TOLERATED_RATIO + TOLERATED_SLOW_RATE);
  }

  private int chooseSlowBucket() {
    long timedCalls = previousOldCounts.timedCalls();
    if (timedCalls < MIN_TIMED_CALLS_FOR_BASELINE) {
      return -1;
    }
    if (slowBucket >= 0) {
      return slowBucket;
    }
    int bucket = previousOldCounts.latencies().size();
    while (bucket > 0
        && previousOldCounts.callsAtOrAbove(bucket - 1) <= MAX_BASELINE_SLOW_SHARE * timedCalls) {
      bucket--;
    }
    return bucket;
  }
}
