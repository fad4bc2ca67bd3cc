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
  class AggregatorThatDies {

    @Test
    void costsTimeOnly() {
      fixture.runUntilShare(0, 0.05);
      int aggregator = fixture.aggregatorOfZone(0);
      mesh.stopNode(aggregator);

      fixture.runUntil(125);

      assertThat(fixture.result(), equalTo(DONE));
    }

    @Test
    void takesNoEvidenceAgainstBadVersionWithIt() {
      fixture.runUntilShare(0, 0.2);
      mesh.stopNode(fixture.aggregatorOfZone(0));
      mesh.stopNode(fixture.aggregatorOfZone(2));

      fixture.failNew(0.3);
      fixture.runUntil(125);

      assertThat(fixture.result(), equalTo(ROLLED_BACK));
    }
  }

  @Nested
  class PausedNode {

    @Test
    void givesNewVersionNothingUntilItIsToldAgain() {
      fixture.runUntilShare(1, 0.5);
      mesh.freeze(1, Duration.ofSeconds(6));
      fixture.failNew(1);

      double before = mesh.newShare(1);
      boolean woken = false;
      double afterwards = 0;
      for (int tick = 0; tick < 60; tick++) {
        fixture.step();
        woken = woken || mesh.newShare(1) == 0;
        afterwards = woken ? Math.max(afterwards, mesh.newShare(1)) : 0;
      }

      assertThat(before, greaterThanOrEqualTo(0.5));
      assertThat("first tick after the pause", woken, is(true));
      assertThat(afterwards, closeTo(0, 0));
    }

    @Test
    void takesUpItsShareOnceItIsToldAgain() {
      fixture.runUntilShare(1, 0.5);
      mesh.freeze(1, Duration.ofSeconds(6));
      List<Double> shares = new ArrayList<>();
      for (int tick = 0; tick < 60; tick++) {
        fixture.step();
        shares.add(mesh.newShare(1));
      }

      assertThat(shares, hasItem(0.0));
      assertThat(shares.get(shares.size() - 1), greaterThanOrEqualTo(0.5));
    }
  }

  @Nested
  class ZoneThatDoesNotAnswer {

    @Test
    void keepsItsRegionAtTheStepItHasReached() {
      fixture.runUntilShare(0, 0.05);
      for (int node = 1; node < mesh.nodes(); node += 4) {
        mesh.freeze(node, Duration.ofSeconds(50));
      }

      double highest = 0;
      for (int tick = 0; tick < 5 * 45; tick++) {
        fixture.step();
        highest = Math.max(highest, mesh.newShare(0));
      }

      assertThat(highest, closeTo(0.05, 1e-6));
    }
  }

  @Nested
  class PausedAggregator {

    @Test
    void grantsNothingOfWhatItKnewBefore() {
      fixture.runUntilShare(0, 0.5);
      int aggregator = fixture.aggregatorOfZone(0);
      mesh.freeze(aggregator, Duration.ofSeconds(20));
      fixture.failNew(1);
      fixture.runUntilShare(0, 0.01);
      for (int tick = 0; tick < 150; tick++) {
        fixture.step();
      }

      assertThat(fixture.highestShareNow(), closeTo(0, 0));
      assertThat(fixture.result(), equalTo(ROLLED_BACK));
    }
  }

  @Nested
  class TwoAggregatorsOfOneZone {

    @Test
    void keepTheBadVersionBelowTheShareOfTheirStep() {
      List<Member> alone = List.of(mesh.node(0).member(), mesh.node(8).member());
      mesh.showView(0, alone);
      mesh.showView(8, alone);
      fixture.failNew(0.5);
      double highest = 0;
      for (int tick = 0; tick < 5 * 130; tick++) {
        fixture.step();
        highest = Math.max(highest, fixture.highestShareNow());
      }

      assertThat(highest, lessThanOrEqualTo(0.2));
      assertThat(fixture.result(), equalTo(ROLLED_BACK));
    }
  }

  @Nested
  class RegionsCutApart {

    @Test
    void eachCutTheBadVersionByTheirOwnEvidence() {
      fixture.runUntilShare(0, 0.05);
      mesh.setCut(true);
      fixture.runUntil(60);
      fixture.failNew(0.3);

      fixture.runUntil(80);

      assertThat(fixture.highestShareNow(), closeTo(0, 0));
    }

    @Test
    void sayDoneOnlyWhenBothHaveEndedTheirSoak() {
      fixture.runUntil(20);
      mesh.setCut(true);

      fixture.runUntil(125);
      assertThat(fixture.highestShareNow(), closeTo(1, 0));
      assertThat(fixture.result(), equalTo(Optional.empty()));
      assertThat(fixture.reasons(), hasItem(startsWith("waiting for the end of the soak in")));

      mesh.setCut(false);
      fixture.runUntil(140);
      assertThat(fixture.result(), equalTo(DONE));
      assertThat(
          mesh.outcome().orElseThrow().decidedAt().isAfter(MoveRun.START.plusSeconds(120)),
          is(true));
    }

    @Test
    void neverSayDoneWhenOneHasRolledBack() {
      fixture.runUntil(20);
      mesh.setCut(true);
      fixture.runUntil(95);
      fixture.failNewIn("munster", 0.5);
      fixture.runUntil(130);
      assertThat(fixture.result(), equalTo(Optional.empty()));

      mesh.setCut(false);
      fixture.runUntil(150);

      assertThat(fixture.result(), equalTo(ROLLED_BACK));
      assertThat(mesh.log().contradictions(), is(0));
      assertThat(fixture.highestShareNow(), closeTo(0, 0));
    }
  }

  @Nested
  class LogDown {

    @Test
    void delaysTheStatementOnly() {
      fixture.runUntil(5);
      mesh.setLogUp(false);
      fixture.runUntil(200);
      assertThat(fixture.highestShareNow(), closeTo(1, 0));

      mesh.setLogUp(true);
      fixture.runUntil(215);

      assertThat(fixture.result(), equalTo(DONE));
      assertThat(
          mesh.outcome().orElseThrow().decidedAt().isBefore(MoveRun.START.plusSeconds(120)),
          is(true));
    }

    @Test
    void keepsRollbackInForceThroughRestartOfHalfTheNodes() {
      fixture.runUntil(5);
      mesh.setLogUp(false);
      fixture.runUntilShare(0, 0.05);
      fixture.failNew(1);
      fixture.runUntil(60);
      assertThat(fixture.highestShareNow(), closeTo(0, 0));
      for (int node = 0; node < mesh.nodes(); node += 2) {
        mesh.stopNode(node);
        mesh.startNode(node);
      }

      fixture.failNew(0);
      double highest = 0;
      for (int tick = 0; tick < 5 * 70; tick++) {
        fixture.step();
        highest = Math.max(highest, fixture.highestShareNow());
      }

      assertThat(highest, closeTo(0, 0));
      mesh.setLogUp(true);
      fixture.runUntil(160);
      assertThat(fixture.result(), equalTo(ROLLED_BACK));
    }
  }
}
