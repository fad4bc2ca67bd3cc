package org.cuminlatch.core.move;

import java.time.Instant;

/** The running comparisons of one route, or of all routes together. */
final class RouteStatistics {

  private static final double[] FAILURE_EXCESSES = {0.03, 0.15, 0.6};
  private static final double[] LATENCY_EXCESSES = {0.1, 0.35, 0.75};
  private static final double ALLOWED_RATIO = 1.5;
  private static final double ALLOWED_FAILURES = 0.01;
  private static final double ALLOWED_SLOW = 0.05;
  private static final double SLOW_SHARE = 0.05;
  private static final long TIMED_CALLS_FOR_BASELINE = 50;

  private final Baseline failureBaseline = new Baseline();
  private final SequentialTest failures = new SequentialTest(FAILURE_EXCESSES);
  private final SequentialTest latencies = new SequentialTest(LATENCY_EXCESSES);
  private Baseline slowBaseline = new Baseline();
  private Counts oldSeen = Counts.NONE;
  private Counts newSeen = Counts.NONE;
  private int slowBucket = -1;

  /** One look's share of calls, with the bounds that hold for them. */
  record Increment(
      long failures, long calls, double failureBound, long slow, long timed, double slowBound) {}

  /** Takes the cumulative counts of a look and returns what they add. */
  Increment advance(Counts oldCounts, Counts newCounts, Instant now) {
    Counts oldAdded = oldCounts.since(oldSeen);
    oldSeen = oldSeen.join(oldCounts);
    failureBaseline.add(Math.min(oldAdded.failures(), oldAdded.calls()), oldAdded.calls(), now);
    double failureBound = failureBaseline.bound() * ALLOWED_RATIO + ALLOWED_FAILURES;
    double slowBound = slowBound(oldAdded, now);
    Counts newAdded = newCounts.since(newSeen);
    newSeen = newSeen.join(newCounts);
    long slow = slowBucket < 0 ? 0 : newAdded.slowerFrom(slowBucket);
    return new Increment(
        Math.min(newAdded.failures(), newAdded.calls()),
        newAdded.calls(),
        failureBound,
        slow,
        newAdded.timed(),
        slowBound);
  }

  void look(Increment increment) {
    failures.look(increment.failures(), increment.calls(), increment.failureBound());
    latencies.look(increment.slow(), increment.timed(), increment.slowBound());
  }

  void begin(double weight) {
    failures.begin(weight);
    latencies.begin(weight);
  }

  double failureLogValue() {
    return failures.logValue();
  }

  double latencyLogValue() {
    return latencies.logValue();
  }

  double slowerThanMillis() {
    return slowBucket < 1 ? 0 : LatencyBuckets.upperBoundMillis(slowBucket - 1);
  }

  int slowBucket() {
    return slowBucket;
  }

  private double slowBound(Counts oldAdded, Instant now) {
    int bucket = chooseSlowBucket();
    if (bucket < 0) {
      return 1;
    }
    if (bucket != slowBucket) {
      slowBucket = bucket;
      slowBaseline = new Baseline();
      slowBaseline.add(oldSeen.slowerFrom(bucket), oldSeen.timed(), now);
    } else {
      slowBaseline.add(oldAdded.slowerFrom(bucket), oldAdded.timed(), now);
    }
    return Math.min(1, slowBaseline.bound() * ALLOWED_RATIO + ALLOWED_SLOW);
  }

  private int chooseSlowBucket() {
    long timed = oldSeen.timed();
    if (timed < TIMED_CALLS_FOR_BASELINE) {
      return -1;
    }
    if (slowBucket >= 0) {
      return slowBucket;
    }
    int bucket = oldSeen.latencies().size();
    while (bucket > 0 && oldSeen.slowerFrom(bucket - 1) <= SLOW_SHARE * timed) {
      bucket--;
    }
    return bucket;
  }
}
