package org.cuminlatch.core.move;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.cuminlatch.core.config.Move;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class VersionEvaluatorTests {

  private static final Instant START = Instant.parse("2026-03-01T08:00:00Z");
  private static final double ERROR_RATE = 0.01;
  private static final MovePlan PLAN =
      MovePlan.of(
          new Move(
              "m",
              "siparis",
              Optional.empty(),
              "1",
              "2",
              START,
              START.plusSeconds(300),
              List.of(),
              Duration.ofSeconds(60),
              false));

  @Nested
  class Results {

    @ParameterizedTest(name = "old fails {0}, new fails {1}: {2}")
    @CsvSource({
      "0.003, 0.003, UNSUSPICIOUS",
      "0.003, 0.1, BAD",
      "0.003, 1, BAD",
      "0.3, 0.3, UNSUSPICIOUS",
      "0.3, 0.9, BAD",
      "0.1, 0, UNSUSPICIOUS"
    })
    void dependOnFailureRatesOfBothVersions(
        double oldFailureRate, double newFailureRate, Evaluation.Kind expected) {
      assertThat(evaluate(oldFailureRate, newFailureRate, 20, 600, 1), is(expected));
    }

    @Test
    void areEqualForEqualEvidence() {
      assertThat(evaluate(0.003, 0.05, 5, 300, 9), is(evaluate(0.003, 0.05, 5, 300, 9)));
    }

    @Test
    void areUnsuspiciousAfterSingleFailureInFewCalls() {
      VersionEvaluator evaluator = new VersionEvaluator(PLAN, ERROR_RATE);
      evaluator.evaluate(evidence(10, 0, 0, 0), 0, START);

      Evaluation evaluation = evaluator.evaluate(evidence(10, 0, 2, 1), 0, START.plusSeconds(1));

      assertThat(evaluation.kind(), is(Evaluation.Kind.UNSUSPICIOUS));
    }
  }

  @Nested
  class FalseRollbackRate {

    @Test
    void staysWithinBoundOverAllEvaluationsOfEquallyGoodVersion() {
      int falseRollbacks = 0;
      for (int move = 0; move < 300; move++) {
        boolean bad = evaluate(0.02, 0.02, 10, 300, move) == Evaluation.Kind.BAD;
        falseRollbacks += bad ? 1 : 0;
      }

      assertThat(falseRollbacks, lessThanOrEqualTo((int) (300 * ERROR_RATE)));
    }

    @Test
    void staysWithinBoundForEventRateEqualToBoundOfTest() {
      double rate = 0.05;
      SplittableRandom random = new SplittableRandom(3);
      int falsePositives = 0;
      for (int run = 0; run < 1_000; run++) {
        falsePositives += reachesThreshold(Math.log(1 / rate), random) ? 1 : 0;
      }

      assertThat(falsePositives, lessThanOrEqualTo((int) (1_000 * rate)));
    }

    private boolean reachesThreshold(double threshold, SplittableRandom random) {
      SequentialTest test = new SequentialTest(0.03, 0.15, 0.6);
      for (int update = 0; update < 200; update++) {
        test.addChangePoint(1.0 / 200);
        test.update(binomial(20, 0.05, random), 20, 0.05);
        if (test.logValue() >= threshold) {
          return true;
        }
      }
      return false;
    }
  }

  private static Evaluation.Kind evaluate(
      double oldRate, double newRate, int newCallsPerEvaluation, int evaluations, long seed) {
    VersionEvaluator evaluator = new VersionEvaluator(PLAN, ERROR_RATE);
    SplittableRandom random = new SplittableRandom(seed);
    long oldFailures = 0;
    long newFailures = 0;
    Evaluation evaluation = Evaluation.NONE;
    for (int evaluationCount = 1; evaluationCount <= evaluations; evaluationCount++) {
      oldFailures += binomial(50, oldRate, random);
      newFailures += binomial(newCallsPerEvaluation, newRate, random);
      long newCalls = (long) evaluationCount * newCallsPerEvaluation;
      Instant now = START.plusMillis(500L * evaluationCount);
      evaluation =
          evaluator.evaluate(
              evidence(50L * evaluationCount, oldFailures, newCalls, newFailures), 0, now);
    }
    return evaluation.kind();
  }

  private static Evidence evidence(
      long oldCalls, long oldFailures, long newCalls, long newFailures) {
    CallCounts oldCounts = new CallCounts(oldCalls, oldFailures, 0, 0, List.of());
    CallCounts newCounts = new CallCounts(newCalls, newFailures, 0, 0, List.of());
    return new Evidence(
        java.util.Map.of("orders", new Evidence.RouteEvidence(oldCounts, newCounts)));
  }

  private static long binomial(int trials, double rate, SplittableRandom random) {
    long events = 0;
    for (int i = 0; i < trials; i++) {
      events += random.nextDouble() < rate ? 1 : 0;
    }
    return events;
  }
}
