package org.cuminlatch.bench.move;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.config.MoveOutcome.Result;
import org.cuminlatch.core.config.MoveStop;
import org.cuminlatch.core.membership.Member;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MoveLifeTests {

  private static final Optional<Result> DONE = Optional.of(Result.DONE);
  private static final Optional<Result> ROLLED_BACK = Optional.of(Result.ROLLED_BACK);

  private final MeshFixture fixture = new MeshFixture(12, MeshFixture.move(120, 20));
  private final SimulatedMesh mesh = fixture.mesh();

  @Nested
  class GoodVersion {

    @Test
    void isDoneAlthoughItHasFewCalls() {
      fixture.callsPerSecond(0.3).runUntil(125);

      assertThat(fixture.result(), equalTo(DONE));
    }

    @Test
    void isNotBlamedForCallersOwnErrors() {
      fixture.callerErrorsOfNew(0.6).runUntil(125);

      assertThat(fixture.result(), equalTo(DONE));
    }

    @Test
    void isNotBlamedForFailuresThatMeetTheOldOneToo() {
      fixture.runUntilShare(0, 0.2);
      fixture.failOld(0.3).failNew(0.3);
      fixture.runUntil(60);
      fixture.failOld(0).failNew(0);

      fixture.runUntil(125);

      assertThat(fixture.result(), equalTo(DONE));
    }

    @Test
    void isNotBlamedForColdStart() {
      fixture.slowNew(10).coldNew().runUntil(60);

      assertThat(fixture.result(), equalTo(Optional.empty()));
    }
  }

  @Nested
  class BadVersion {

    @Test
    void isRolledBackWhenItFailsInTheSoak() {
      fixture.runUntilShare(0, 1).runUntil(85);
      fixture.failNew(0.2).runUntil(95);

      assertThat(fixture.result(), equalTo(ROLLED_BACK));
      assertThat(mesh.outcome().orElseThrow().highestShare(), closeTo(1, 1e-6));
    }

    @Test
    void isRolledBackWhenItIsSlow() {
      fixture.slowNew(4).runUntil(60);

      assertThat(fixture.result(), equalTo(ROLLED_BACK));
      assertThat(mesh.outcome().orElseThrow().reason(), containsString("latency"));
      assertThat(mesh.outcome().orElseThrow().highestShare(), lessThanOrEqualTo(0.0101));
    }

    @Test
    void isRolledBackWhenItNeverGetsWarm() {
      fixture.coldNew().failNew(0.9).runUntil(60);

      assertThat(fixture.result(), equalTo(ROLLED_BACK));
      assertThat(mesh.outcome().orElseThrow().reason(), containsString("cold"));
    }
  }

  @Nested
  class OperatorsStop {

    @Test
    void takesTheTrafficBackAndStands() {
      fixture.runUntilShare(0, 0.5);
      mesh.log().append(new MoveStop("move", "wrong day"));

      fixture.step();
      assertThat(fixture.highestShareNow(), closeTo(0, 0));

      fixture.runUntil(125);
      assertThat(fixture.result(), equalTo(ROLLED_BACK));
      assertThat(mesh.outcome().orElseThrow().reason(), containsString("wrong day"));
    }
  }

  @Nested
  class ChangedDeadline {

    @Test
    void earlierHurriesTheSteps() {
      fixture.runUntil(20);
      mesh.log().append(withDeadline(70));

      fixture.runUntil(70);

      assertThat(fixture.result(), equalTo(DONE));
    }

    @Test
    void laterSoaksLonger() {
      fixture.runUntil(60);
      mesh.log().append(withDeadline(300));

      fixture.runUntil(200);
      assertThat(fixture.result(), equalTo(Optional.empty()));

      fixture.runUntil(300);
      assertThat(fixture.result(), equalTo(DONE));
    }

    private Move withDeadline(long seconds) {
      return MeshFixture.move(seconds, 20);
    }
  }

  @Nested
  class RegionThatJoins {

    @Test
    void beginsAtTheFirstStepAndCatchesUp() {
      fixture.runUntilShare(0, 0.5);
      ServiceProfile.Zone zone = new ServiceProfile.Zone("ulster", "a");
      mesh.addNode(zone, "1");
      mesh.addNode(zone, "2");
      int node = mesh.nodes() - 1;
      List<Double> shares = new ArrayList<>();
      Instant end = MoveRun.START.plusSeconds(100);
      while (mesh.now().isBefore(end)) {
        fixture.step();
        double share = mesh.newShare(node);
        if (shares.isEmpty() || shares.get(shares.size() - 1) != share) {
          shares.add(share);
        }
      }

      assertThat(shares, equalTo(List.of(0.0, 0.01, 0.05, 0.2, 0.5, 1.0)));
      fixture.runUntil(125);
      assertThat(fixture.result(), equalTo(DONE));
    }
  }

  @Nested
  class Capacity {

    @Test
    void lowersTheShareWhenTargetsOfNewVersionDrain() {
      fixture.runUntilShare(0, 0.5);
      for (int node = 8; node < 16; node++) {
        mesh.announce(node, draining(mesh.node(node).member()));
      }

      fixture.step();
      fixture.step();

      assertThat(fixture.highestShareNow(), closeTo(0, 0));
    }

    @Test
    void rollsBackWhenItIsLostWhileTheSoakEnds() {
      fixture.runUntilShare(0, 1).runUntil(107);
      for (int node = 8; node < 16; node++) {
        mesh.announce(node, draining(mesh.node(node).member()));
      }

      fixture.runUntil(125);

      assertThat(fixture.result(), equalTo(ROLLED_BACK));
    }

    private Member draining(Member member) {
      return inPhase(member, Member.Phase.DRAINING);
    }
  }

  @Nested
  class StartingInstance {

    @Test
    void doesNotHoldTheMoveUpWithoutConfiguration() {
      fixture.runUntil(5);
      mesh.addNode(MeshFixture.SERVICE.zones().get(0), "2");
      int starting = mesh.nodes() - 1;
      mesh.announce(starting, inPhase(mesh.node(starting).member(), Member.Phase.STARTING));
      mesh.freeze(starting, Duration.ofSeconds(300));

      fixture.runUntil(125);

      assertThat(fixture.result(), equalTo(DONE));
    }
  }

  private static Member inPhase(Member member, Member.Phase phase) {
    return new Member(
        member.instance(),
        member.incarnation(),
        member.status(),
        member.controlAddress(),
        member.callAddress(),
        member.locality(),
        member.service(),
        member.targetVersion(),
        member.slots(),
        phase,
        member.schemaVersions(),
        member.configVersion(),
        member.stateHash());
  }

  @Nested
  class RegionByRegion {

    @Test
    void movesTheSecondRegionAfterTheFirst() {
      Move together = MeshFixture.move(240, 20);
      Move inTurn =
          new Move(
              together.name(),
              together.service(),
              together.route(),
              together.from(),
              together.to(),
              together.start(),
              together.deadline(),
              together.steps(),
              together.soak(),
              true);
      MeshFixture regions = new MeshFixture(13, inTurn);

      regions.runUntil(80);
      assertThat(regions.mesh().newShare(0), greaterThan(0.0));
      assertThat(regions.mesh().newShare(2), closeTo(0, 0));

      regions.runUntil(245);
      assertThat(regions.result(), is(DONE));
    }
  }
}
