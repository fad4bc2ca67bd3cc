package org.cuminlatch.core.route;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.cuminlatch.core.retry.ExponentialBackoff;

/** Load, latency and failures of one target, as observed by one node. Thread-safe. */
final class TargetLoad {

  static final int CONSECUTIVE_FAILURES_TO_EJECT = 5;
  static final Duration INITIAL_EJECTION_TIME = Duration.ofSeconds(2);
  static final Duration MAX_EJECTION_TIME = Duration.ofSeconds(60);
  private static final ExponentialBackoff EJECTION_BACKOFF =
      new ExponentialBackoff(INITIAL_EJECTION_TIME, MAX_EJECTION_TIME);
  static final Duration SLOW_START_WINDOW = Duration.ofSeconds(30);

  private static final double MIN_WEIGHT = 0.1;
  private static final double LATENCY_SMOOTHING = 0.2;
  private static final double MIN_LATENCY_MILLIS = 1;
  private static final Duration REPORT_LIFETIME = Duration.ofSeconds(2);
  private static final Duration LATENCY_HALF_LIFE = Duration.ofSeconds(5);

  /** Weight of each attempt in the smoothed share of failures. */
  private static final double FAILURE_SMOOTHING = 0.1;

  private static final Duration FAILURE_HALF_LIFE = Duration.ofSeconds(5);

  /**
   * Lag of the target's node that counts as much as one request per slot. A longer lag counts no
   * more: when all nodes lag, as after a start, calls should stay near.
   */
  private static final double FULL_LAG_MILLIS = 100;

  private final Instant firstSeen;
  private final LoadPolicy policy;
  private double failureShare;
  private Instant failureShareUpdatedAt = Instant.MIN;
  private int outstanding;
  private int outstandingAtReport;
  private ReportedLoad report;
  private Instant reportedAt = Instant.MIN;
  private double latencyMillis;
  private Instant latencyUpdatedAt = Instant.MIN;
  private int consecutiveFailures;
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

  synchronized void recordReport(ReportedLoad load, Instant now) {
    report = load;
    reportedAt = now;
    outstandingAtReport = outstanding;
  }

  synchronized void recordAnswer(Duration latency, Instant now) {
    double measuredMillis = latency.toNanos() / 1e6;
    double previous = latencyAt(now);
    latencyMillis =
        latencyUpdatedAt.equals(Instant.MIN)
            ? measuredMillis
            : previous + LATENCY_SMOOTHING * (measuredMillis - previous);
    latencyUpdatedAt = now;
    consecutiveFailures = 0;
    updateFailureShare(0, now);
    ejections = now.isBefore(ejectedUntil) ? ejections : Math.max(0, ejections - 1);
  }

  synchronized void recordFailure(Instant now) {
    updateFailureShare(1, now);
    consecutiveFailures++;
    if (consecutiveFailures >= CONSECUTIVE_FAILURES_TO_EJECT && !now.isBefore(ejectedUntil)) {
      eject(now);
    }
  }

  synchronized void recordUnreachable(Instant now) {
    consecutiveFailures = CONSECUTIVE_FAILURES_TO_EJECT;
    if (!now.isBefore(ejectedUntil)) {
      eject(now);
    }
  }

  private void updateFailureShare(double failure, Instant now) {
    double previous = failureShare(now);
    failureShare = previous + FAILURE_SMOOTHING * (failure - previous);
    failureShareUpdatedAt = now;
  }

  private double failureShare(Instant now) {
    return failureShareUpdatedAt.equals(Instant.MIN)
        ? 0
        : failureShare * decay(failureShareUpdatedAt, now, FAILURE_HALF_LIFE);
  }

  private static double decay(Instant since, Instant now, Duration halfLife) {
    double age = Math.max(0, Duration.between(since, now).toNanos());
    return Math.pow(0.5, age / halfLife.toNanos());
  }

  private void eject(Instant now) {
    ejectedUntil = now.plus(EJECTION_BACKOFF.maxDelayAfter(ejections));
    ejections++;
    consecutiveFailures = CONSECUTIVE_FAILURES_TO_EJECT - 1;
  }

  synchronized Optional<Instant> ejectedUntil(Instant now) {
    return now.isBefore(ejectedUntil) ? Optional.of(ejectedUntil) : Optional.empty();
  }

  /**
   * Returns the pressure on the target: its requests per slot, increased if it fails or its node
   * lags. From 1 on, no slot is free.
   */
  synchronized double pressure(int slots, Instant now) {
    return requests(now) / Math.max(1, limit(slots, now))
        + lagPressure(now)
        + policy.failurePressure() * failureShare(now);
  }

  /**
   * Returns the cost of one more request; the target with the lower cost is chosen.
   *
   * <p>The cost is the expected time to completion, if the target's node has reported its service
   * time: that time while a slot is free, and the wait for a slot in addition otherwise. The latest
   * service time counts also when the load that was reported with it is outdated, as the speed of a
   * target changes slowly. Otherwise, the measured latency is multiplied by the load.
   */
  synchronized double cost(int slots, Instant now) {
    double loadPerSlot = (requests(now) + 1) / Math.max(1, limit(slots, now)) + lagPressure(now);
    double expectedMillis =
        report != null && !report.serviceTime().isZero()
            ? report.serviceTime().toNanos() / 1e6 * Math.max(1, loadPerSlot)
            : Math.max(MIN_LATENCY_MILLIS, latencyAt(now)) * loadPerSlot;
    return expectedMillis / weight(now) * (1 + policy.failureCost() * failureShare(now));
  }

  private double requests(Instant now) {
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
    return report != null && now.isBefore(reportedAt.plus(REPORT_LIFETIME));
  }

  private double latencyAt(Instant now) {
    if (latencyUpdatedAt.equals(Instant.MIN)) {
      return 0;
    }
    return latencyMillis * decay(latencyUpdatedAt, now, LATENCY_HALF_LIFE);
  }

  /** Returns the latest known service time or else latency; 0 before the first answer. */
  synchronized double serviceMillis() {
    return report != null && !report.serviceTime().isZero()
        ? report.serviceTime().toNanos() / 1e6
        : latencyMillis;
  }

  private double weight(Instant now) {
    double age = Duration.between(firstSeen, now).toNanos();
    return Math.max(MIN_WEIGHT, Math.min(1, age / policy.slowStart().toNanos()));
  }
}
