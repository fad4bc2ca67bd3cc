package org.cuminlatch.core.move;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.cuminlatch.core.config.Move;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MovePlanValidatorTests {

  private static final Instant START = Instant.parse("2026-03-01T08:00:00Z");

  @Nested
  class ValidPlan {

    @ParameterizedTest
    @CsvSource({"20, 0", "30, 5", "3600, 1800"})
    void isAccepted(long seconds, long soakSeconds) {
      Move move = move("1", "2", seconds, soakSeconds, List.of());

      assertThat(MovePlanValidator.findProblem(move), equalTo(Optional.empty()));
    }

    @Test
    void endsWithShareOfOneIfStepsEndBelow() {
      MovePlan plan = MovePlan.of(move("1", "2", 600, 60, List.of(0.1, 0.5)));

      assertThat(plan.shares(), equalTo(List.of(0.1, 0.5, 1.0)));
    }

    @Test
    void leavesTimeForSoakBeforeDeadline() {
      MovePlan plan = MovePlan.of(move("1", "2", 600, 60, List.of()));

      Instant lastStepStart = plan.latestStart(plan.lastStep());
      assertThat(lastStepStart.plusSeconds(60).isBefore(plan.decisionDeadline()), equalTo(true));
      assertThat(plan.decisionDeadline().isBefore(START.plusSeconds(600)), equalTo(true));
    }
  }

  @Nested
  class InvalidPlan {

    @ParameterizedTest
    @CsvSource({
      "10, 0, the deadline is impossible",
      "60, 55, the deadline is impossible",
      "0, 0, is not after the start",
      "-5, 0, is not after the start"
    })
    void isRejectedForImpossibleDeadline(long seconds, long soakSeconds, String reason) {
      Move move = move("1", "2", seconds, soakSeconds, List.of());

      assertThat(MovePlanValidator.findProblem(move).orElse(""), containsString(reason));
    }

    @Test
    void isRejectedForStepsThatDoNotRise() {
      for (List<Double> steps : List.of(List.of(0.0, 1.0), List.of(0.5, 0.2), List.of(0.5, 0.5))) {
        Move move = move("1", "2", 600, 0, steps);
        assertThat(
            MovePlanValidator.findProblem(move).orElse(""), containsString("the steps must rise"));
      }
    }

    @Test
    void isRejectedForEqualVersions() {
      Move move = move("1", "1", 600, 0, List.of());

      assertThat(MovePlanValidator.findProblem(move).orElse(""), containsString("same version"));
    }
  }

  private static Move move(
      String from, String to, long seconds, long soakSeconds, List<Double> steps) {
    return new Move(
        "m",
        "siparis",
        Optional.empty(),
        from,
        to,
        START,
        START.plusSeconds(seconds),
        steps,
        Duration.ofSeconds(soakSeconds),
        false);
  }
}
