package org.cuminlatch.core.move;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.cuminlatch.core.move.EvidenceRow.Side;

/**
 * Repeatedly tests whether the new version of a move is worse than the old one.
 *
 * <p>The result depends only on the evidence and the times of the evaluations, so equal inputs give
 * equal results. Over all evaluations, routes and measures together, a version that is no worse
 * than the old one is found bad with a probability of at most the error rate: the rate is split
 * over the tests (Bonferroni), and each test keeps its share over all evaluations, see {@link
 * SequentialTest}.
 */
public final class VersionEvaluator {

  // Weights of the change points; over all evaluations they sum to at most 1.
  private static final double FIRST_EVALUATION_WEIGHT = 0.25;
  private static final double STEPS_WEIGHT = 0.5;
  private static final double TIME_WEIGHT = 0.25;

  // Shares of the error rate; the first two apply to failures and to latency each.
  private static final double POOLED_ERROR_SHARE = 0.25;
  private static final double ROUTES_ERROR_SHARE = 0.2;
  private static final double COLD_ERROR_SHARE = 0.1;

  private static final double MAX_COLD_FAILURE_RATE = 0.5;
  private static final double[] COLD_ALTERNATIVES = {0.8};
  private static final double SUSPICIOUS_LOG_VALUE = Math.log(20);

  private final MovePlan plan;
  private final double errorRate;
  private final RouteStatistics allRoutes = new RouteStatistics();
  private final SequentialTest coldTargets = new SequentialTest(COLD_ALTERNATIVES);
  private final Map<String, RouteStatistics> routes = new LinkedHashMap<>();
  private CallCounts previousColdCounts = CallCounts.NONE;
  private Instant lastEvaluation;
  private int lastStep = MoveEvidence.NO_STEP;
  private double remainingTimeWeight = TIME_WEIGHT;
  private Evaluation evaluation = Evaluation.NONE;

  /**
   * Creates an evaluator without any evidence.
   *
   * @param plan schedule of the move
   * @param errorRate upper bound on the probability of finding a version bad that is no worse
   */
  public VersionEvaluator(MovePlan plan, double errorRate) {
    this.plan = plan;
    this.errorRate = errorRate;
  }

  /**
   * Evaluates the evidence.
   *
   * @param evidence cumulative evidence, never less than at the previous evaluation
   * @param step index of the step in force
   * @param now current time
   * @return the result; once it is bad it stays bad
   */
  public Evaluation evaluate(Evidence evidence, int step, Instant now) {
    if (evaluation.kind() == Evaluation.Kind.BAD) {
      return evaluation;
    }
    double weight = weight(step, now);
    updateRoutes(evidence, weight, now);
    updateColdTargets(evidence, weight);
    lastEvaluation = now;
    lastStep = Math.max(step, lastStep);
    evaluation = conclude(evidence);
    return evaluation;
  }

  private void updateRoutes(Evidence evidence, double weight, Instant now) {
    allRoutes.addChangePoint(weight);
    evidence
        .routes()
        .forEach(
            (name, route) -> {
              RouteStatistics tests = routes.computeIfAbsent(name, key -> new RouteStatistics());
              tests.addChangePoint(weight);
              RouteStatistics.Increment added =
                  tests.nextIncrement(route.oldCounts(), route.newCounts(), now);
              tests.update(added);
              allRoutes.update(added);
            });
  }

  private void updateColdTargets(Evidence evidence, double weight) {
    CallCounts total = evidence.total(Side.NEW);
    CallCounts added = total.since(previousColdCounts);
    previousColdCounts = previousColdCounts.join(total);
    coldTargets.addChangePoint(weight);
    long failed = Math.min(added.coldFailures(), added.coldCalls());
    coldTargets.update(failed, added.coldCalls(), MAX_COLD_FAILURE_RATE);
  }

  private double weight(int step, Instant now) {
    if (lastEvaluation == null) {
      return FIRST_EVALUATION_WEIGHT;
    }
    double weight = timeWeight(now);
    if (step > lastStep) {
      weight += STEPS_WEIGHT * (step - lastStep) / plan.shares().size();
    }
    return weight;
  }

  private double timeWeight(Instant now) {
    double lengthMillis = Duration.between(plan.start(), plan.decisionDeadline()).toMillis();
    double elapsedMillis = Math.max(0, Duration.between(lastEvaluation, now).toMillis());
    double weight = Math.min(remainingTimeWeight, TIME_WEIGHT * elapsedMillis / lengthMillis);
    remainingTimeWeight -= weight;
    return weight;
  }

  private Evaluation conclude(Evidence evidence) {
    Finding strongest =
        new Finding("failures on all routes", allRoutes.failureLogValue(), POOLED_ERROR_SHARE)
            .stronger(
                new Finding(
                    "latency on all routes", allRoutes.latencyLogValue(), POOLED_ERROR_SHARE))
            .stronger(
                new Finding("failures of cold targets", coldTargets.logValue(), COLD_ERROR_SHARE));
    int index = 1;
    for (Map.Entry<String, RouteStatistics> entry : routes.entrySet()) {
      double errorShare = ROUTES_ERROR_SHARE / (index * (index + 1.0));
      RouteStatistics tests = entry.getValue();
      String routeSuffix = " on route " + entry.getKey();
      strongest =
          strongest.stronger(
              new Finding("failures" + routeSuffix, tests.failureLogValue(), errorShare));
      strongest =
          strongest.stronger(
              new Finding("latency" + routeSuffix, tests.latencyLogValue(), errorShare));
      index++;
    }
    Finding finding = strongest;
    return new Evaluation(
        strongest.kind(errorRate), () -> finding.description() + ": " + figures(evidence, finding));
  }

  private static String figures(Evidence evidence, Finding strongest) {
    CallCounts oldCounts = evidence.total(Side.OLD);
    CallCounts newCounts = evidence.total(Side.NEW);
    return String.format(
        Locale.ROOT,
        "new %d of %d failed, old %d of %d, evidence 1e%.1f",
        newCounts.failures() + newCounts.coldFailures(),
        newCounts.calls() + newCounts.coldCalls(),
        oldCounts.failures() + oldCounts.coldFailures(),
        oldCounts.calls() + oldCounts.coldCalls(),
        strongest.logValue() / Math.log(10));
  }

  private record Finding(String description, double logValue, double errorShare) {

    Finding stronger(Finding other) {
      return other.logValue + Math.log(other.errorShare) > logValue + Math.log(errorShare)
          ? other
          : this;
    }

    Evaluation.Kind kind(double errorRate) {
      if (logValue >= -Math.log(errorRate * errorShare)) {
        return Evaluation.Kind.BAD;
      }
      return logValue >= SUSPICIOUS_LOG_VALUE
          ? Evaluation.Kind.SUSPICIOUS
          : Evaluation.Kind.UNSUSPICIOUS;
    }
  }
}
