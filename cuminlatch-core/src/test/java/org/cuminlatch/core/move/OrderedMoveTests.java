package org.cuminlatch.core.move;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.cuminlatch.core.move.MoveStatement.State;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("An ordered move")
class OrderedMoveTests {

  private static final Duration LENGTH = Duration.ofSeconds(16);
  private static final Duration TICK = Duration.ofMillis(250);
  private static final double CALLS_PER_SECOND = 500;

  /** Upper bound on the fraction of a service's calls that a bad version gets. */
  private static final double MAX_EXPOSURE = 0.1;

  private static final int EXPOSURE_TOLERANCE_CALLS = 50;

  private final Instant start = Instant.EPOCH;
  private final OrderedMove move =
      new OrderedMove(new MoveOrder(3, "bookings", "v2", LENGTH), start);

  /** Simulates the move with a new version that fails at the given rate from a time on. */
  private SimulationResult simulate(double failureRate, Duration failingFrom, long seed) {
    return simulate(failureRate, failingFrom, LENGTH, seed);
  }

  /**
   * Simulates the move; from a second time on both versions fail in a fifth of their calls. The
   * counts of the old targets arrive one tick later than those of the new ones.
   */
  private SimulationResult simulate(
      double failureRate, Duration failingFrom, Duration commonFrom, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    long[] calls = new long[2];
    long[] failures = new long[2];
    long[] reportedOld = new long[2];
    Instant now = start;
    double share = 0;
    while (now.isBefore(start.plus(LENGTH))) {
      now = now.plus(TICK);
      int callsInTick = (int) (CALLS_PER_SECOND * TICK.toMillis() / 1000);
      for (int i = 0; i < callsInTick; i++) {
        int side = random.nextDouble() < share ? 1 : 0;
        boolean bad = side == 1 && !now.isBefore(start.plus(failingFrom));
        calls[side]++;
        double commonFailureRate = now.isBefore(start.plus(commonFrom)) ? 0.004 : 0.2;
        failures[side] += random.nextDouble() < (bad ? failureRate : commonFailureRate) ? 1 : 0;
      }
      move.addCounts("i-old", "v1", Map.of("order", counts(reportedOld[0], reportedOld[1])));
      reportedOld = new long[] {calls[0], failures[0]};
      move.addCounts("i-new", "v2", Map.of("order", counts(calls[1], failures[1])));
      move.evaluate(now);
      share = move.rule().share();
      if (move.dueState(true, now) != State.RUNNING) {
        return new SimulationResult(
            move.dueState(true, now), calls[1], Duration.between(start, now));
      }
    }
    return new SimulationResult(State.RUNNING, calls[1], LENGTH);
  }

  private static CallCounts counts(long calls, long failures) {
    return new CallCounts(calls, failures, 0, 0, List.of(0L, calls - failures));
  }

  private record SimulationResult(State state, long newCalls, Duration duration) {}

  @Nested
  class ToGoodVersion {

    @Test
    void isCompletedBeforeDeadline() {
      for (long seed = 0; seed < 20; seed++) {
        SimulationResult result = new OrderedMoveTests().simulate(0.004, Duration.ZERO, seed);

        assertThat(result.state(), is(State.COMPLETED));
        assertThat(result.duration(), lessThan(LENGTH));
      }
    }

    @Test
    void isCompletedDespiteFailuresOfBothVersions() {
      for (long seed = 0; seed < 20; seed++) {
        SimulationResult result =
            new OrderedMoveTests().simulate(0.004, LENGTH, Duration.ofMillis(9500), seed);

        assertThat(result.state(), is(State.COMPLETED));
      }
    }

    @Test
    void isRolledBackAtDeadlineIfTooFewNewTargetsServe() {
      assertThat(
          move.dueState(false, start.plus(LENGTH.multipliedBy(9).dividedBy(10))),
          is(State.RUNNING));
      assertThat(move.dueState(false, start.plus(LENGTH)), is(State.ROLLED_BACK));
    }
  }

  @Nested
  class ToBadVersion {

    @Test
    void isRolledBackBeforeMaximumExposure() {
      double allowed =
          MAX_EXPOSURE * CALLS_PER_SECOND * LENGTH.toSeconds() + EXPOSURE_TOLERANCE_CALLS;
      for (double failureRate : new double[] {0.35, 0.5, 0.9}) {
        for (Duration failingFrom : List.of(Duration.ZERO, Duration.ofSeconds(3))) {
          for (long seed = 0; seed < 20; seed++) {
            SimulationResult result =
                new OrderedMoveTests().simulate(failureRate, failingFrom, seed);

            assertThat(result.state(), is(State.ROLLED_BACK));
            assertThat((double) result.newCalls(), lessThanOrEqualTo(allowed));
          }
        }
      }
    }

    @Test
    void hasShareOfZeroOnceAnotherNodeFindsVersionBad() {
      move.markBad("node-2");

      assertThat(move.rule().share(), is(0.0));
      assertThat(move.dueState(true, start), is(State.ROLLED_BACK));
    }
  }

  @Nested
  class ThatHasEnded {

    @Test
    void keepsFinalStateFromStore() {
      move.markBad("node-2");
      move.applyFinalState(State.COMPLETED);

      assertThat(move.rule().share(), is(1.0));
      assertThat(move.dueState(true, start), is(State.COMPLETED));
    }
  }

  @Nested
  class OnNodeThatStartedLate {

    @Test
    void continuesFromElapsedTimeThatOthersReport() {
      Instant later = start.plusSeconds(1);
      move.adoptElapsed(Duration.ofSeconds(13), later);
      move.evaluate(later);

      assertThat(move.rule().share(), is(1.0));
    }
  }
}
