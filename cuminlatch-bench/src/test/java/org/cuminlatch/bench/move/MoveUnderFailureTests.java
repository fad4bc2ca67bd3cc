package org.cuminlatch.bench.move;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cuminlatch.core.config.MoveOutcome.Result;
import org.cuminlatch.core.membership.Member;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MoveUnderFailureTests {

  private static final Optional<Result> DONE = Optional.of(Result.DONE);
  private static final Optional<Result> ROLLED_BACK = Optional.of(Result.ROLLED_BACK);

  private final MeshFixture fixture = new MeshFixture(11, MeshFixture.move(120, 20));
  private final SimulatedMesh mesh = fixture.mesh();

  @Nested
  class FailedAggregator {

    @Test
    void delaysTheMoveButDoesNotChangeItsOutcome() {
      fixture.runUntilShare(0, 0.05);
      int aggregator = fixture.aggregatorOfZone(0);
      mesh.stopNode(aggregator);

      fixture.runUntil(125);

      assertThat(fixture.result(), equalTo(DONE));
    }

    @Test
    void losesNoEvidenceAgainstBadVersion() {
      fixture.runUntilShare(0, 0.2);
      mesh.stopNode(fixture.aggregatorOfZone(0));
      mesh.stopNode(fixture.aggregatorOfZone(2));

      fixture.withNewFailureRate(0.3);
      fixture.runUntil(125);

      assertThat(fixture.result(), equalTo(ROLLED_BACK));
    }
  }

  @Nested
  class PausedNode {

    @Test
    void sendsNoCallsToNewVersionUntilItReceivesAnotherGrant() {
      fixture.runUntilShare(1, 0.5);
      mesh.pauseNode(1, Duration.ofSeconds(6));
      fixture.withNewFailureRate(1);

      double shareBeforePause = mesh.newVersionShare(1);
      boolean resumed = false;
      double maxShareAfterPause = 0;
      for (int tick = 0; tick < 60; tick++) {
        fixture.step();
        resumed = resumed || mesh.newVersionShare(1) == 0;
        maxShareAfterPause = resumed ? Math.max(maxShareAfterPause, mesh.newVersionShare(1)) : 0;
      }

      assertThat(shareBeforePause, greaterThanOrEqualTo(0.5));
      assertThat("first tick after the pause", resumed, is(true));
      assertThat(maxShareAfterPause, closeTo(0, 0));
    }

    @Test
    void resumesItsShareOnceItReceivesAnotherGrant() {
      fixture.runUntilShare(1, 0.5);
      mesh.pauseNode(1, Duration.ofSeconds(6));
      List<Double> shares = new ArrayList<>();
      for (int tick = 0; tick < 60; tick++) {
        fixture.step();
        shares.add(mesh.newVersionShare(1));
      }

      assertThat(shares, hasItem(0.0));
      assertThat(shares.get(shares.size() - 1), greaterThanOrEqualTo(0.5));
    }
  }

  @Nested
  class UnresponsiveZone {

    @Test
    void keepsItsRegionAtTheCurrentStep() {
      fixture.runUntilShare(0, 0.05);
      for (int node = 1; node < mesh.nodes(); node += 4) {
        mesh.pauseNode(node, Duration.ofSeconds(50));
      }

      double maxShare = 0;
      for (int tick = 0; tick < 5 * 45; tick++) {
        fixture.step();
        maxShare = Math.max(maxShare, mesh.newVersionShare(0));
      }

      assertThat(maxShare, closeTo(0.05, 1e-6));
    }
  }

  @Nested
  class PausedAggregator {

    @Test
    void grantsNothingFromEvidenceCollectedBeforeThePause() {
      fixture.runUntilShare(0, 0.5);
      int aggregator = fixture.aggregatorOfZone(0);
      mesh.pauseNode(aggregator, Duration.ofSeconds(20));
      fixture.withNewFailureRate(1);
      fixture.runUntilShare(0, 0.01);
      for (int tick = 0; tick < 150; tick++) {
        fixture.step();
      }

      assertThat(fixture.maxCurrentShare(), closeTo(0, 0));
      assertThat(fixture.result(), equalTo(ROLLED_BACK));
    }
  }

  @Nested
  class TwoAggregatorsInOneZone {

    @Test
    void limitTheShareOfBadVersionAndRollItBack() {
      List<Member> isolatedView = List.of(mesh.node(0).member(), mesh.node(8).member());
      mesh.overrideView(0, isolatedView);
      mesh.overrideView(8, isolatedView);
      fixture.withNewFailureRate(0.5);
      double maxShare = 0;
      for (int tick = 0; tick < 5 * 130; tick++) {
        fixture.step();
        maxShare = Math.max(maxShare, fixture.maxCurrentShare());
      }

      assertThat(maxShare, lessThanOrEqualTo(0.2));
      assertThat(fixture.result(), equalTo(ROLLED_BACK));
    }
  }

  @Nested
  class PartitionedRegions {

    @Test
    void rollBackBadVersionOnTheirOwnEvidence() {
      fixture.runUntilShare(0, 0.05);
      mesh.setPartitioned(true);
      fixture.runUntil(60);
      fixture.withNewFailureRate(0.3);

      fixture.runUntil(80);

      assertThat(fixture.maxCurrentShare(), closeTo(0, 0));
    }

    @Test
    void completeTheMoveOnlyAfterBothHaveFinishedTheirSoak() {
      fixture.runUntil(20);
      mesh.setPartitioned(true);

      fixture.runUntil(125);
      assertThat(fixture.maxCurrentShare(), closeTo(1, 0));
      assertThat(fixture.result(), equalTo(Optional.empty()));
      assertThat(fixture.reasons(), hasItem(startsWith("waiting for the end of the soak in")));

      mesh.setPartitioned(false);
      fixture.runUntil(140);
      assertThat(fixture.result(), equalTo(DONE));
      assertThat(
          mesh.outcome().orElseThrow().decidedAt().isAfter(MoveRun.START.plusSeconds(120)),
          is(true));
    }

    @Test
    void neverCompleteTheMoveAfterOneHasRolledBack() {
      fixture.runUntil(20);
      mesh.setPartitioned(true);
      fixture.runUntil(95);
      fixture.withNewFailureRateInRegion("munster", 0.5);
      fixture.runUntil(130);
      assertThat(fixture.result(), equalTo(Optional.empty()));

      mesh.setPartitioned(false);
      fixture.runUntil(150);

      assertThat(fixture.result(), equalTo(ROLLED_BACK));
      assertThat(mesh.log().contradictions(), is(0));
      assertThat(fixture.maxCurrentShare(), closeTo(0, 0));
    }
  }

  @Nested
  class LogDown {

    @Test
    void delaysTheOutcomeButDoesNotChangeIt() {
      fixture.runUntil(5);
      mesh.setLogUp(false);
      fixture.runUntil(200);
      assertThat(fixture.maxCurrentShare(), closeTo(1, 0));

      mesh.setLogUp(true);
      fixture.runUntil(215);

      assertThat(fixture.result(), equalTo(DONE));
      assertThat(
          mesh.outcome().orElseThrow().decidedAt().isBefore(MoveRun.START.plusSeconds(120)),
          is(true));
    }

    @Test
    void rollbackStaysInForceWhenHalfOfTheNodesRestart() {
      fixture.runUntil(5);
      mesh.setLogUp(false);
      fixture.runUntilShare(0, 0.05);
      fixture.withNewFailureRate(1);
      fixture.runUntil(60);
      assertThat(fixture.maxCurrentShare(), closeTo(0, 0));
      for (int node = 0; node < mesh.nodes(); node += 2) {
        mesh.stopNode(node);
        mesh.startNode(node);
      }

      fixture.withNewFailureRate(0);
      double maxShare = 0;
      for (int tick = 0; tick < 5 * 70; tick++) {
        fixture.step();
        maxShare = Math.max(maxShare, fixture.maxCurrentShare());
      }

      assertThat(maxShare, closeTo(0, 0));
      mesh.setLogUp(true);
      fixture.runUntil(160);
      assertThat(fixture.result(), equalTo(ROLLED_BACK));
    }
  }
}
