package org.cuminlatch.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import java.time.Duration;
import java.util.OptionalDouble;
import org.cuminlatch.core.admission.OverloadSimulation.Discipline;
import org.cuminlatch.core.admission.OverloadSimulation.RefusedCallers;
import org.cuminlatch.core.admission.OverloadSimulation.Result;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("Targets under a load that exceeds their capacity for long")
class SustainedOverloadTests {

  private static final Duration LENGTH = Duration.ofSeconds(30);

  /** Required share of the requests that the targets can execute which are answered in time. */
  private static final double REQUIRED_SHARE = 0.9;

  private interface Fleet {
    void addTo(OverloadSimulation simulation, DisciplineFactory disciplines);
  }

  private interface DisciplineFactory {
    Discipline create(int slots, RequestRateLimit limit);
  }

  private static final DisciplineFactory GOAL_QUEUE =
      (slots, limit) -> Discipline.of(new GoalQueue(slots, limit));

  private static Result play(Fleet fleet, DisciplineFactory disciplines, double load) {
    return play(fleet, disciplines, load, RefusedCallers.GIVE_UP);
  }

  private static Result play(
      Fleet fleet, DisciplineFactory disciplines, double load, RefusedCallers refusedCallers) {
    OverloadSimulation simulation = new OverloadSimulation(refusedCallers);
    fleet.addTo(simulation, disciplines);
    return simulation.play(load * simulation.capacityPerSecond(), LENGTH);
  }

  private static double capacity(Fleet fleet) {
    OverloadSimulation simulation = new OverloadSimulation(RefusedCallers.GIVE_UP);
    fleet.addTo(simulation, GOAL_QUEUE);
    return simulation.capacityPerSecond();
  }

  private static void assertAnswersInTime(Fleet fleet, double load) {
    Result goalQueue = play(fleet, GOAL_QUEUE, load);
    Result firstComeFirstServed = play(fleet, Discipline::firstComeFirstServed, load);

    assertThat(goalQueue.inTime(), greaterThanOrEqualTo(REQUIRED_SHARE * capacity(fleet)));
    assertThat(goalQueue.inTime(), greaterThan(firstComeFirstServed.inTime()));
  }

  @Nested
  class OfUnequalSpeed {

    private static final double[] SPEEDS = {0.7, 0.9, 1.2, 1.4, 1.6};

    private void addTargets(OverloadSimulation simulation, DisciplineFactory disciplines) {
      for (double speed : SPEEDS) {
        simulation.addTarget(
            9, speed, OptionalDouble.empty(), limit -> disciplines.create(9, limit));
      }
    }

    @ParameterizedTest
    @ValueSource(doubles = {1.05, 1.2, 1.5})
    void answerAsManyInTimeAsTheyCanExecute(double load) {
      assertAnswersInTime(this::addTargets, load);
    }
  }

  @Nested
  class WhoseRefusedCallersComeBack {

    private void addTargets(OverloadSimulation simulation, DisciplineFactory disciplines) {
      for (int i = 0; i < 5; i++) {
        simulation.addTarget(9, 1, OptionalDouble.empty(), limit -> disciplines.create(9, limit));
      }
    }

    /** Callers that come back are late in any case; new ones can still be answered in time. */
    @ParameterizedTest
    @ValueSource(doubles = {1.2, 1.5})
    void answerMoreInTimeIfGoalsCountFromTheFirstRequest(double load) {
      Result asNew = play(this::addTargets, GOAL_QUEUE, load, RefusedCallers.RETURN_AS_NEW);
      Result fromFirst = play(this::addTargets, GOAL_QUEUE, load, RefusedCallers.RETURN);

      assertThat(fromFirst.inTime(), greaterThan(asNew.inTime()));
      assertThat(
          fromFirst.inTime(), greaterThanOrEqualTo(REQUIRED_SHARE * capacity(this::addTargets)));
    }
  }

  @Nested
  class OfWhichMostNameRateLimits {

    private static final double[] PER_SECOND = {21.2, 25.1, 33.6, 39.2, 86.8, 90.7};
    private static final int UNLIMITED = 3;

    private void addTargets(OverloadSimulation simulation, DisciplineFactory disciplines) {
      for (double perSecond : PER_SECOND) {
        simulation.addTarget(
            13, 1, OptionalDouble.of(perSecond), limit -> disciplines.create(13, limit));
      }
      for (int i = 0; i < UNLIMITED; i++) {
        simulation.addTarget(13, 1, OptionalDouble.empty(), limit -> disciplines.create(13, limit));
      }
    }

    @ParameterizedTest
    @ValueSource(doubles = {1.05, 1.2, 1.5})
    void answerAsManyInTimeAsTheyCanExecute(double load) {
      assertAnswersInTime(this::addTargets, load);
    }
  }
}
