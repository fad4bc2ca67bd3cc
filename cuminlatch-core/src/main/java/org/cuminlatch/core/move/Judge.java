package org.cuminlatch.core.move;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.cuminlatch.core.move.EvidenceRow.Side;

/**
 * Compares the new version of a move with the old one, look by look.
 *
 * <p>The verdict is a function of the looks alone: the same evidence at the same times gives the
 * same verdicts. Over all looks, routes and measures together, a version that is no worse than the
 * old one is found bad with a probability of at most the error rate: the rate is split over the
 * tests (Bonferroni) and each test holds its part over all looks, see {@link SequentialTest}.
 */
public final class Judge {

  private static final double FIRST_LOOK_WEIGHT = 0.25;
  private static final double STEP_WEIGHT = 0.5;
  private static final double TIME_WEIGHT = 0.25;
  private static final double POOLED_PART = 0.25;
  private static final double ROUTES_PART = 0.2;
  private static final double COLD_PART = 0.1;
  private static final double COLD_FAILURE_BOUND = 0.5;
  private static final double[] COLD_EXCESSES = {0.8};
  private static final double SUSPICION = Math.log(20);

  private final MovePlan plan;
  private final double errorRate;
  private final RouteStatistics pooled = new RouteStatistics();
  private final SequentialTest cold = new SequentialTest(COLD_EXCESSES);
  private final Map<String, RouteStatistics> routes = new LinkedHashMap<>();
  private Counts coldSeen = Counts.NONE;
  private Instant lastLook;
  private int lastStep = MoveEvidence.NO_STEP;
  private double timeWeightLeft = TIME_WEIGHT;
  private Verdict verdict = Verdict.NONE;

  /**
   * Creates a judge that has seen nothing.
   *
   * @param plan schedule of the move
   * @param errorRate bound on the probability of finding a version bad that is no worse
   */
  public Judge(MovePlan plan, double errorRate) {
    this.plan = plan;
    this.errorRate = errorRate;
  }

  /**
   * Looks at the evidence.
   *
   * @param evidence cumulative evidence, never less than at the look before
   * @param step step in force
   * @param now the time
   * @return the verdict; once bad it stays bad
   */
  public Verdict look(Evidence evidence, int step, Instant now) {
    if (verdict.kind() == Verdict.Kind.BAD) {
      return verdict;
    }
    double weight = weight(step, now);
    lookAtRoutes(evidence, weight, now);
    lookAtColdTargets(evidence, weight);
    lastLook = now;
    lastStep = Math.max(step, lastStep);
    verdict = conclude(evidence);
    return verdict;
  }

  private void lookAtRoutes(Evidence evidence, double weight, Instant now) {
    pooled.begin(weight);
    evidence
        .routes()
        .forEach(
            (name, route) -> {
              RouteStatistics tests = routes.computeIfAbsent(name, key -> new RouteStatistics());
              tests.begin(weight);
              RouteStatistics.Increment added = tests.advance(route.old(), route.fresh(), now);
              tests.look(added);
              pooled.look(added);
            });
  }

  private void lookAtColdTargets(Evidence evidence, double weight) {
    Counts total = evidence.total(Side.NEW);
    Counts added = total.since(coldSeen);
    coldSeen = coldSeen.join(total);
    cold.begin(weight);
    long failed = Math.min(added.coldFailures(), added.coldCalls());
    cold.look(failed, added.coldCalls(), COLD_FAILURE_BOUND);
  }

  private double weight(int step, Instant now) {
    if (lastLook == null) {
      return FIRST_LOOK_WEIGHT;
    }
    double weight = timeWeight(now);
    if (step > lastStep) {
      weight += STEP_WEIGHT * (step - lastStep) / plan.shares().size();
    }
    return weight;
  }

  private double timeWeight(Instant now) {
    double length = Duration.between(plan.start(), plan.decideBy()).toMillis();
    double passed = Math.max(0, Duration.between(lastLook, now).toMillis());
    double weight = Math.min(timeWeightLeft, TIME_WEIGHT * passed / length);
    timeWeightLeft -= weight;
    return weight;
  }

  private Verdict conclude(Evidence evidence) {
    Finding worst =
        new Finding("failures on all routes", pooled.failureLogValue(), POOLED_PART)
            .worse(new Finding("latency on all routes", pooled.latencyLogValue(), POOLED_PART))
            .worse(new Finding("failures of cold targets", cold.logValue(), COLD_PART));
    int index = 1;
    for (Map.Entry<String, RouteStatistics> entry : routes.entrySet()) {
      double part = ROUTES_PART / (index * (index + 1.0));
      RouteStatistics tests = entry.getValue();
      String on = " on route " + entry.getKey();
      worst = worst.worse(new Finding("failures" + on, tests.failureLogValue(), part));
      worst = worst.worse(new Finding("latency" + on, tests.latencyLogValue(), part));
      index++;
    }
    Finding found = worst;
    return new Verdict(worst.kind(errorRate), () -> found.what() + ": " + figures(evidence, found));
  }

  private static String figures(Evidence evidence, Finding worst) {
    Counts old = evidence.total(Side.OLD);
    Counts fresh = evidence.total(Side.NEW);
    return String.format(
        Locale.ROOT,
        "new %d of %d failed, old %d of %d, evidence 1e%.1f",
        fresh.failures() + fresh.coldFailures(),
        fresh.calls() + fresh.coldCalls(),
        old.failures() + old.coldFailures(),
        old.calls() + old.coldCalls(),
        worst.logValue() / Math.log(10));
  }

  private record Finding(String what, double logValue, double part) {

    Finding worse(Finding other) {
      return other.logValue + Math.log(other.part) > logValue + Math.log(part) ? other : this;
    }

    Verdict.Kind kind(double errorRate) {
      if (logValue >= -Math.log(errorRate * part)) {
        return Verdict.Kind.BAD;
      }
      return logValue >= SUSPICION ? Verdict.Kind.SUSPICIOUS : Verdict.Kind.UNSUSPICIOUS;
    }
  }
}
