package org.cuminlatch.core.move;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Optional;
import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.config.MoveOutcome;
import org.cuminlatch.core.config.MoveStop;
import org.cuminlatch.core.move.EvidenceMessage.RollbackNotice;
import org.cuminlatch.core.move.VersionShares.VersionShare;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MoveEngineTests {

  private final TwoNodeSimulation nodes = new TwoNodeSimulation();

  @Nested
  class WithoutMove {

    @Test
    void givesAllTrafficToCurrentVersion() {
      nodes.run(1);

      assertThat(nodes.shares(), equalTo(List.of(new VersionShare("1", 1))));
    }
  }

  @Nested
  class MoveToGoodVersion {

    @Test
    void endsDoneBeforeTheDeadline() {
      nodes.start(nodes.move(60, 5));

      nodes.run(60);

      assertThat(nodes.outcome().result(), is(MoveOutcome.Result.DONE));
      assertThat(nodes.outcome().highestShare(), closeTo(1, 0));
    }

    @Test
    void risesByTheStepsOfThePlan() {
      nodes.start(nodes.move(60, 5));

      nodes.run(4);

      assertThat(nodes.firstEngine().progress().get(0).step(), is(0));
      assertThat(nodes.newVersionShare(), closeTo(0.01, 1e-9));
    }

    @Test
    void soaksForAllTheTimeThatIsLeft() {
      nodes.start(nodes.move(60, 5));

      nodes.run(50);
      assertThat(nodes.newVersionShare(), closeTo(1, 0));
      assertThat(nodes.outcomes().isEmpty(), is(true));

      nodes.run(9);
      assertThat(nodes.outcome().result(), is(MoveOutcome.Result.DONE));
    }
  }

  @Nested
  class MoveToBadVersion {

    @Test
    void endsRolledBackWithFigures() {
      nodes.start(nodes.move(60, 5));
      nodes.setNewVersionFailureRate(0.5);

      nodes.run(60);

      assertThat(nodes.outcome().result(), is(MoveOutcome.Result.ROLLED_BACK));
      assertThat(nodes.outcome().reason(), containsString("failed"));
      assertThat(nodes.outcome().highestShare(), lessThanOrEqualTo(0.05));
      assertThat(nodes.newVersionShare(), closeTo(0, 0));
    }
  }

  @Nested
  class RollbackToldByPeer {

    @Test
    void standsAlthoughTheMoveIsNotKnownYet() {
      Move move = nodes.move(60, 5);
      Rollback rollback = new Rollback(MoveId.of(move), "seen elsewhere", move.start(), 0.2);
      nodes.deliverToFirstNode(new RollbackNotice(List.of(rollback)));
      nodes.start(move);

      nodes.run(30);

      assertThat(nodes.newVersionShare(), closeTo(0, 0));
      assertThat(nodes.outcome().result(), is(MoveOutcome.Result.ROLLED_BACK));
      assertThat(nodes.outcome().reason(), equalTo("seen elsewhere"));
      assertThat(nodes.outcome().highestShare(), closeTo(0.2, 0));
    }
  }

  @Nested
  class OperatorsStop {

    @Test
    void takesAllTrafficBackAtOnce() {
      nodes.start(nodes.move(60, 5));
      nodes.run(30);

      nodes.stop(new MoveStop("m", "not today"));
      nodes.run(0.1);

      assertThat(nodes.newVersionShare(), closeTo(0, 0));
      assertThat(nodes.outcome().result(), is(MoveOutcome.Result.ROLLED_BACK));
      assertThat(nodes.outcome().reason(), containsString("not today"));
    }
  }

  @Nested
  class Capacity {

    @Test
    void holdsTheShareAtWhatReadySlotsTake() {
      nodes.setNewVersionSlots(1);
      nodes.start(nodes.move(60, 5));

      nodes.run(40);

      assertThat(nodes.newVersionShare(), lessThanOrEqualTo(0.5));
      assertThat(nodes.reasons(), hasItem(containsString("ready slots")));
    }

    @Test
    void rollsBackAtTheDeadlineWhenSlotsNeverSuffice() {
      nodes.setNewVersionSlots(1);
      nodes.start(nodes.move(60, 5));

      nodes.run(60);

      assertThat(nodes.outcome().result(), is(MoveOutcome.Result.ROLLED_BACK));
      assertThat(nodes.outcome().reason(), containsString("deadline"));
    }

    @Test
    void givesNothingToVersionWithoutReadyTarget() {
      nodes.setNewVersionSlots(0);
      nodes.start(nodes.move(60, 5));

      nodes.run(10);

      assertThat(nodes.newVersionShare(), closeTo(0, 0));
    }
  }

  @Nested
  class MoveOfOneRoute {

    @Test
    void leavesOtherRoutesAlone() {
      nodes.start(nodes.routeMove(Optional.of("other"), 60, 5));

      nodes.run(30);

      assertThat(nodes.newVersionShare(), closeTo(0, 0));
    }

    @Test
    void keepsItsRouteOnNewVersionWhenDone() {
      nodes.start(nodes.routeMove(Optional.of("orders"), 60, 5));

      nodes.run(60);

      assertThat(nodes.outcome().result(), is(MoveOutcome.Result.DONE));
      assertThat(nodes.newVersionShare(), closeTo(1, 0));
    }
  }
}
