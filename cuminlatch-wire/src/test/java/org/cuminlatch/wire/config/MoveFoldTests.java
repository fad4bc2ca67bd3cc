package org.cuminlatch.wire.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasKey;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.cuminlatch.core.config.FoldLimits;
import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.config.MoveOutcome;
import org.cuminlatch.core.config.MoveOutcome.Result;
import org.cuminlatch.core.config.MoveState;
import org.cuminlatch.core.config.MoveStop;
import org.cuminlatch.core.config.RefusalReason;
import org.cuminlatch.core.config.Resource;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.RouteRemoval;
import org.cuminlatch.core.config.ServiceState;
import org.cuminlatch.core.config.TargetVersion;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

@DisplayName("Moves in the fold")
class MoveFoldTests {

  private static final Optional<RefusalReason> ACCEPTED = Optional.empty();

  private ReplicaFixture fixture;

  @BeforeEach
  void createServiceWithTwoRoutes() {
    fixture = ReplicaFixture.create();
    fixture.publish(new TargetVersion("siparis", "v1"));
    fixture.publish(new TargetVersion("siparis", "v2"));
    fixture.publish(new TargetVersion("siparis", "v3"));
    fixture.publish(Route.of("orders", "/orders", "siparis"));
    fixture.publish(Route.of("quotes", "/quotes", "siparis"));
  }

  static Stream<Arguments> impossibleMoves() {
    Instant start = Samples.START;
    Duration minute = Duration.ofMinutes(1);
    List<Double> whole = List.of(1.0);
    return Stream.of(
        Arguments.of(Samples.timed(start, start, whole, Duration.ZERO)),
        Arguments.of(Samples.timed(start, start.minus(minute), whole, Duration.ZERO)),
        Arguments.of(Samples.timed(start, start.plus(minute), whole, minute)),
        Arguments.of(
            Samples.timed(start, start.plusMillis(1_999), List.of(0.5, 1.0), Duration.ZERO)),
        Arguments.of(Samples.timed(start, start.plus(minute), List.of(0.0, 1.0), Duration.ZERO)),
        Arguments.of(Samples.timed(start, start.plus(minute), List.of(0.5, 0.5), Duration.ZERO)),
        Arguments.of(Samples.move("m", "v1", "v1")));
  }

  @ParameterizedTest
  @MethodSource("impossibleMoves")
  void areRefusedIfTheirFieldsMakeThemImpossible(Move move) {
    assertThat(fixture.publish(move), is(Optional.of(RefusalReason.MOVE_IMPOSSIBLE)));
  }

  static Stream<Arguments> unresolvedMoves() {
    return Stream.of(
        Arguments.of(Samples.move("m", "v1", "v9"), RefusalReason.UNRESOLVED_REFERENCE),
        Arguments.of(Samples.move("m", "v9", "v1"), RefusalReason.UNRESOLVED_REFERENCE),
        Arguments.of(
            Samples.move("m", Optional.of("none"), "v1", "v2"), RefusalReason.UNRESOLVED_REFERENCE),
        Arguments.of(Samples.move("m", "v2", "v1"), RefusalReason.MOVE_FROM_NOT_CURRENT),
        Arguments.of(new MoveStop("none", "why"), RefusalReason.RESOURCE_MISSING),
        Arguments.of(Samples.outcome("none", Result.DONE), RefusalReason.RESOURCE_MISSING));
  }

  @ParameterizedTest
  @MethodSource("unresolvedMoves")
  void areRefusedIfTheirReferencesDoNotMatchTheState(Resource resource, RefusalReason reason) {
    assertThat(fixture.publish(resource), is(Optional.of(reason)));
  }

  @Nested
  class WhileMoveIsOpen {

    @BeforeEach
    void openMove() {
      assertThat(fixture.publish(Samples.move("m", "v1", "v2")), is(ACCEPTED));
    }

    @Test
    void refuseSecondMoveOfTheSameService() {
      assertThat(
          fixture.publish(Samples.move("n", "v1", "v3")),
          is(Optional.of(RefusalReason.MOVE_CONFLICT)));
      assertThat(
          fixture.publish(Samples.move("n", Optional.of("orders"), "v1", "v3")),
          is(Optional.of(RefusalReason.MOVE_CONFLICT)));
    }

    @Test
    void refuseSecondMoveOfTheSameName() {
      assertThat(
          fixture.publish(Samples.move("m", "v1", "v3")),
          is(Optional.of(RefusalReason.MOVE_EXISTS)));
    }

    @Test
    void acceptNewDeadline() {
      Move running = state("m").move();
      long acceptedAt = state("m").acceptedAt();
      Instant later = running.deadline().plusSeconds(60);

      assertThat(fixture.publish(withDeadline(running, later)), is(ACCEPTED));

      assertThat(state("m").move().deadline(), is(later));
      assertThat(state("m").acceptedAt(), is(acceptedAt));
    }

    @Test
    void refuseNewDeadlineThatIsImpossible() {
      Move running = state("m").move();

      assertThat(
          fixture.publish(withDeadline(running, running.start())),
          is(Optional.of(RefusalReason.MOVE_IMPOSSIBLE)));
    }

    @Test
    void refuseTheUnchangedMove() {
      assertThat(fixture.publish(state("m").move()), is(Optional.of(RefusalReason.MOVE_EXISTS)));
    }

    private Move withDeadline(Move move, Instant deadline) {
      return new Move(
          move.name(),
          move.service(),
          move.route(),
          move.from(),
          move.to(),
          move.start(),
          deadline,
          move.steps(),
          move.soak(),
          move.regionByRegion());
    }

    @Test
    void makeTheNewVersionCurrentIfDone() {
      assertThat(fixture.publish(Samples.outcome("m", Result.DONE)), is(ACCEPTED));
      assertThat(service().current(), is("v2"));
      assertThat(state("m").isOpen(), is(false));
    }

    @Test
    void keepTheOldVersionCurrentIfRolledBack() {
      assertThat(fixture.publish(Samples.outcome("m", Result.ROLLED_BACK)), is(ACCEPTED));
      assertThat(service().current(), is("v1"));
    }

    @Test
    void keepTheFirstOutcome() {
      fixture.publish(Samples.outcome("m", Result.ROLLED_BACK));
      assertThat(
          fixture.publish(Samples.outcome("m", Result.DONE)),
          is(Optional.of(RefusalReason.MOVE_ENDED)));
      assertThat(
          state("m").outcome().map(MoveOutcome::result), is(Optional.of(Result.ROLLED_BACK)));
      assertThat(service().current(), is("v1"));
    }

    @Test
    void acceptOnlyRollbackAfterStop() {
      assertThat(fixture.publish(new MoveStop("m", "why")), is(ACCEPTED));
      assertThat(
          fixture.publish(Samples.outcome("m", Result.DONE)),
          is(Optional.of(RefusalReason.MOVE_STOPPED)));
      assertThat(fixture.publish(Samples.outcome("m", Result.ROLLED_BACK)), is(ACCEPTED));
    }

    @Test
    void compareExpectedVersionOfOutcomeWithVersionOfTheMove() {
      fixture.publish(new MoveStop("m", "why"));
      OptionalLong accepted = OptionalLong.of(state("m").acceptedAt());
      assertThat(
          fixture.publish(Samples.outcome("m", Result.ROLLED_BACK), OptionalLong.of(1)),
          is(Optional.of(RefusalReason.EXPECTED_VERSION_MISMATCH)));
      assertThat(fixture.publish(Samples.outcome("m", Result.ROLLED_BACK), accepted), is(ACCEPTED));
    }
  }

  @Nested
  class OfSingleRoute {

    @BeforeEach
    void openMove() {
      assertThat(
          fixture.publish(Samples.move("m", Optional.of("orders"), "v1", "v2")), is(ACCEPTED));
    }

    @Test
    void leaveOtherRoutesUnchanged() {
      fixture.publish(Samples.outcome("m", Result.DONE));
      assertThat(service().current(), is("v1"));
      assertThat(service().currentFor("orders"), is("v2"));
      assertThat(service().currentFor("quotes"), is("v1"));
    }

    @Test
    void runConcurrentlyWithMoveOfAnotherRoute() {
      assertThat(
          fixture.publish(Samples.move("n", Optional.of("quotes"), "v1", "v3")), is(ACCEPTED));
      assertThat(
          fixture.publish(Samples.move("o", Optional.of("orders"), "v1", "v3")),
          is(Optional.of(RefusalReason.MOVE_CONFLICT)));
    }

    @Test
    void preventRemovalAndReassignmentOfTheirRoute() {
      assertThat(
          fixture.publish(new RouteRemoval("orders")),
          is(Optional.of(RefusalReason.STILL_REFERENCED)));
      fixture.publish(new TargetVersion("saha", "v1"));
      assertThat(
          fixture.publish(Route.of("orders", "/orders", "saha")),
          is(Optional.of(RefusalReason.STILL_REFERENCED)));
    }

    @Test
    void allowMoveOfTheServiceToTheSameVersionOnly() {
      fixture.publish(Samples.outcome("m", Result.DONE));
      assertThat(
          fixture.publish(Samples.move("n", "v1", "v3")),
          is(Optional.of(RefusalReason.MOVE_FROM_NOT_CURRENT)));
      assertThat(fixture.publish(Samples.move("n", "v1", "v2")), is(ACCEPTED));
      fixture.publish(Samples.outcome("n", Result.DONE));
      assertThat(service().currentByRoute().isEmpty(), is(true));
      assertThat(service().currentFor("orders"), is("v2"));
    }

    @Test
    void haveNoEffectOnRouteThatIsRemovedAndPublishedAgain() {
      fixture.publish(Samples.outcome("m", Result.DONE));
      fixture.publish(new RouteRemoval("orders"));
      fixture.publish(Route.of("orders", "/orders", "siparis"));
      assertThat(service().currentFor("orders"), is("v1"));
    }
  }

  @Test
  void areDiscardedBeyondTheMaximumOfEndedMoves() {
    for (int i = 0; i <= FoldLimits.MAX_ENDED_MOVES; i++) {
      fixture.publish(Samples.move("m" + i, "v1", "v2"));
      fixture.publish(Samples.outcome("m" + i, Result.ROLLED_BACK));
    }
    assertThat(fixture.snapshot().moves().size(), is(FoldLimits.MAX_ENDED_MOVES));
    assertThat(fixture.snapshot().moves(), not(hasKey("m0")));
    assertThat(fixture.snapshot().moves(), hasKey("m1"));
  }

  private ServiceState service() {
    return fixture.snapshot().services().get("siparis");
  }

  private MoveState state(String move) {
    return fixture.snapshot().moves().get(move);
  }
}
