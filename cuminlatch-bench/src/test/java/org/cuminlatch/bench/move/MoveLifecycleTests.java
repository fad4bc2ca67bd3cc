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

class MoveLifecycleTests {

  private static final Optional<Result> DONE = Optional.of(Result.DONE);
  private static final Optional<Result> ROLLED_BACK = Optional.of(Result.ROLLED_BACK);

  private final MeshFixture fixture = new MeshFixture(12, MeshFixture.move(120, 20));
  private final SimulatedMesh mesh = fixture.mesh();

  @Nested
  class GoodVersion {

    @Test
    void isDoneDespiteFewCalls() {
      fixture.withCallsPerSecond(0.3).runUntil(125);

      assertThat(fixture.result(), equalTo(DONE));
    }

    @Test
    void isDoneDespiteCallerErrors() {
      fixture.withNewCallerErrorRate(0.6).runUntil(125);

      assertThat(fixture.result(), equalTo(DONE));
    }

    @Test
    void isDoneWhenTheOldVersionFailedEquallyOften() {
      fixture.runUntilShare(0, 0.2);
      fixture.withOldFailureRate(0.3).withNewFailureRate(0.3);
      fixture.runUntil(60);
      fixture.withOldFailureRate(0).withNewFailureRate(0);

      fixture.runUntil(125);

      assertThat(fixture.result(), equalTo(DONE));
    }

    @Test
    void isNotRolledBackWhileItsTargetsAreCold() {
      fixture.withSlowNewVersion(10).withColdNewVersion().runUntil(60);

      assertThat(fixture.result(), equalTo(Optional.empty()));
    }
  }

  @Nested
  class BadVersion {

    @Test
    void isRolledBackWhenItFailsDuringTheSoak() {
      fixture.runUntilShare(0, 1).runUntil(85);
      fixture.withNewFailureRate(0.2).runUntil(95);

      assertThat(fixture.result(), equalTo(ROLLED_BACK));
      assertThat(mesh.outcome().orElseThrow().highestShare(), closeTo(1, 1e-6));
    }

    @Test
    void isRolledBackWhenItIsSlow() {
      fixture.withSlowNewVersion(4).runUntil(60);

      assertThat(fixture.result(), equalTo(ROLLED_BACK));
      assertThat(mesh.outcome().orElseThrow().reason(), containsString("latency"));
      assertThat(mesh.outcome().orElseThrow().highestShare(), lessThanOrEqualTo(0.0101));
    }

    @Test
    void isRolledBackWhenItsTargetsStayCold() {
      fixture.withColdNewVersion().withNewFailureRate(0.9).runUntil(60);

      assertThat(fixture.result(), equalTo(ROLLED_BACK));
      assertThat(mesh.outcome().orElseThrow().reason(), containsString("cold"));
    }
  }

  @Nested
  class OperatorStop {

    @Test
    void rollsBackImmediatelyAndPermanently() {
      fixture.runUntilShare(0, 0.5);
      mesh.log().append(new MoveStop("move", "wrong day"));

      fixture.step();
      assertThat(fixture.maxCurrentShare(), closeTo(0, 0));

      fixture.runUntil(125);
      assertThat(fixture.result(), equalTo(ROLLED_BACK));
      assertThat(mesh.outcome().orElseThrow().reason(), containsString("wrong day"));
    }
  }

  @Nested
  class ChangedDeadline {

    @Test
    void earlierDeadlineShortensTheSteps() {
      fixture.runUntil(20);
      mesh.log().append(withDeadline(70));

      fixture.runUntil(70);

      assertThat(fixture.result(), equalTo(DONE));
    }

    @Test
    void laterDeadlineExtendsTheMove() {
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
  class JoiningRegion {

    @Test
    void startsAtTheFirstStepAndCatchesUp() {
      fixture.runUntilShare(0, 0.5);
      ServiceProfile.Zone zone = new ServiceProfile.Zone("ulster", "a");
      mesh.addNode(zone, "1");
      mesh.addNode(zone, "2");
      int node = mesh.nodes() - 1;
      List<Double> shares = new ArrayList<>();
      Instant end = MoveRun.START.plusSeconds(100);
      while (mesh.now().isBefore(end)) {
        fixture.step();
        double share = mesh.newVersionShare(node);
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
    void shareDropsToZeroWhenTargetsOfTheNewVersionDrain() {
      fixture.runUntilShare(0, 0.5);
      for (int node = 8; node < 16; node++) {
        mesh.announce(node, draining(mesh.node(node).member()));
      }

      fixture.step();
      fixture.step();

      assertThat(fixture.maxCurrentShare(), closeTo(0, 0));
    }

    @Test
    void moveIsRolledBackWhenCapacityIsLostNearTheEndOfTheSoak() {
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
    void doesNotDelayTheMoveWhileItHasNoConfiguration() {
      fixture.runUntil(5);
      mesh.addNode(MeshFixture.SERVICE.zones().get(0), "2");
      int starting = mesh.nodes() - 1;
      mesh.announce(starting, inPhase(mesh.node(starting).member(), Member.Phase.STARTING));
      mesh.pauseNode(starting, Duration.ofSeconds(300));

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
    void secondRegionMovesAfterTheFirst() {
      Move template = MeshFixture.move(240, 20);
      Move regionByRegionMove =
          new Move(
              template.name(),
              template.service(),
              template.route(),
              template.from(),
              template.to(),
              template.start(),
              template.deadline(),
              template.steps(),
              template.soak(),
              true);
      MeshFixture regionFixture = new MeshFixture(13, regionByRegionMove);

      regionFixture.runUntil(80);
      assertThat(regionFixture.mesh().newVersionShare(0), greaterThan(0.0));
      assertThat(regionFixture.mesh().newVersionShare(2), closeTo(0, 0));

      regionFixture.runUntil(245);
      assertThat(regionFixture.result(), is(DONE));
    }
  }
}
