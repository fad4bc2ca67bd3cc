package org.cuminlatch.core.route;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.cuminlatch.core.retry.DoublingWait;

/** What one node has learned of one target; safe for use by many threads. */
final class TargetLoad {

  static final int FAILURES_TO_EJECT = 5;
  static final Duration FIRST_EJECTION = Duration.ofSeconds(2);
  static final Duration LONGEST_EJECTION = Duration.ofSeconds(60);
  private static final DoublingWait EJECTION = new DoublingWait(FIRST_EJECTION, LONGEST_EJECTION);
  static final Duration SLOW_START = Duration.ofSeconds(30);

  private static final double LEAST_WEIGHT = 0.1;
  private static final double LATENCY_SMOOTHING = 0.2;
  private static final double LATENCY_FLOOR_MILLIS = 1;
  private static final Duration REPORT_AGE = Duration.ofSeconds(2);
  private static final Duration LATENCY_HALF_LIFE = Duration.ofSeconds(5);

  /** Part of the difference by which each attempt moves the known share of failures. */
  private static final double FAILURE_SMOOTHING = 0.1;

  private static final Duration FAILURE_HALF_LIFE = Duration.ofSeconds(5);

  /**
   * Lag of the node beside a target that weighs as much as one request for each of its slots. It
   * weighs no more: where all nodes are behind, as after a start, calls had better stay near.
   */
  private static final double FULL_LAG_MILLIS = 100;

  private final Instant firstSeen;
  private final LoadPolicy policy;
  private double failureShare;
  private Instant failureShareAt = Instant.MIN;
  private int outstanding;
  private int outstandingAtReport;
  private ReportedLoad report;
  private Instant reportedAt = Instant.MIN;
  private double latencyMillis;
  private Instant latencyAt = Instant.MIN;
  private int failuresInRow;
  private int ejections;
  private Instant ejectedUntil = Instant.MIN;

  TargetLoad(Instant firstSeen, LoadPolicy policy) {
    this.firstSeen = firstSeen;
    this.policy = policy;
  }

  synchronized void begin() {
    outstanding++;
  }

  synchronized void end() {
    outstanding = Math.max(0, outstanding - 1);
  }

  synchronized void reported(ReportedLoad load, Instant now) {
    report = load;
    reportedAt = now;
    outstandingAtReport = outstanding;
  }

  synchronized void answered(Duration latency, Instant now) {
    double millis = latency.toNanos() / 1e6;
    double known = latencyAt(now);
    latencyMillis =
        latencyAt.equals(Instant.MIN) ? millis : known + LATENCY_SMOOTHING * (millis - known);
    latencyAt = now;
    failuresInRow = 0;
    countFailure(0, now);
    ejections = now.isBefore(ejectedUntil) ? ejections : Math.max(0, ejections - 1);
  }

  synchronized void failed(Instant now) {
    countFailure(1, now);
    failuresInRow++;
    if (failuresInRow >= FAILURES_TO_EJECT && !now.isBefore(ejectedUntil)) {
      eject(now);
    }
  }

  synchronized void unreachable(Instant now) {
    failuresInRow = FAILURES_TO_EJECT;
    if (!now.isBefore(ejectedUntil)) {
      eject(now);
    }
  }

  private void countFailure(double failure, Instant now) {
    double known = failureShare(now);
    failureShare = known + FAILURE_SMOOTHING * (failure - known);
    failureShareAt = now;
  }

  private double failureShare(Instant now) {
    return failureShareAt.equals(Instant.MIN)
        ? 0
        : failureShare * halving(failureShareAt, now, FAILURE_HALF_LIFE);
  }

  private static double halving(Instant since, Instant now, Duration halfLife) {
    double age = Math.max(0, Duration.between(since, now).toNanos());
    return Math.pow(0.5, age / halfLife.toNanos());
  }

  private void eject(Instant now) {
    ejectedUntil = now.plus(EJECTION.longest(ejections));
    ejections++;
    failuresInRow = FAILURES_TO_EJECT - 1;
  }

  synchronized Optional<Instant> ejectedUntil(Instant now) {
    return now.isBefore(ejectedUntil) ? Optional.of(ejectedUntil) : Optional.empty();
  }

  /**
   * Returns the requests at the target per slot, more for one that fails or whose node is behind; 1
   * means that no slot is free.
   */
  synchronized double pressure(int slots, Instant now) {
    return occupied(now) / Math.max(1, limit(slots, now))
        + lagPressure(now)
        + policy.failurePressure() * failureShare(now);
  }

  /** Returns the cost of one more request; the lower one is chosen. */
  synchronized double cost(int slots, Instant now) {
    double latency = Math.max(LATENCY_FLOOR_MILLIS, latencyAt(now));
    double loaded = (occupied(now) + 1) / Math.max(1, limit(slots, now)) + lagPressure(now);
    return loaded * latency / weight(now) * (1 + policy.failureCost() * failureShare(now));
  }

  private double occupied(Instant now) {
    if (!reportIsFresh(now)) {
      return outstanding;
    }
    int sinceReport = outstanding - outstandingAtReport;
    return Math.max(outstanding, report.busy() + report.queued() + sinceReport);
  }

  private int limit(int slots, Instant now) {
    return reportIsFresh(now) ? report.limit() : slots;
  }

  private double lagPressure(Instant now) {
    return reportIsFresh(now) ? Math.min(1, report.lag().toNanos() / 1e6 / FULL_LAG_MILLIS) : 0;
  }

  private boolean reportIsFresh(Instant now) {
    return report != null && now.isBefore(reportedAt.plus(REPORT_AGE));
  }

  private double latencyAt(Instant now) {
    if (latencyAt.equals(Instant.MIN)) {
      return 0;
    }
    return latencyMillis * halving(latencyAt, now, LATENCY_HALF_LIFE);
  }

  private double weight(Instant now) {
    double age = Duration.between(firstSeen, now).toNanos();
    return Math.max(LEAST_WEIGHT, Math.min(1, age / policy.slowStart().toNanos()));
  }
}
