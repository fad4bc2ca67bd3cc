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
    void sendsAllTrafficToCurrentVersion() {
      nodes.run(1);

      assertThat(nodes.shares(), equalTo(List.of(new VersionShare("1", 1))));
    }
  }

  @Nested
  class MoveToGoodVersion {

    @Test
    void isDoneBeforeDeadline() {
      nodes.start(nodes.move(60, 5));

      nodes.run(60);

      assertThat(nodes.outcome().result(), is(MoveOutcome.Result.DONE));
      assertThat(nodes.outcome().highestShare(), closeTo(1, 0));
    }

    @Test
    void beginsWithFirstStepOfPlan() {
      nodes.start(nodes.move(60, 5));

      nodes.run(4);

      assertThat(nodes.firstEngine().progress().get(0).step(), is(0));
      assertThat(nodes.newVersionShare(), closeTo(0.01, 1e-9));
    }

    @Test
    void soaksUntilDecisionDeadline() {
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
    void isRolledBackWithFailureCountsInReason() {
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
  class RollbackNoticeFromPeer {

    @Test
    void appliesToMoveThatStartsLater() {
      Move move = nodes.move(60, 5);
      Rollback rollback =
          new Rollback(MoveId.of(move), "failures in another zone", move.start(), 0.2);
      nodes.deliverToFirstNode(new RollbackNotice(List.of(rollback)));
      nodes.start(move);

      nodes.run(30);

      assertThat(nodes.newVersionShare(), closeTo(0, 0));
      assertThat(nodes.outcome().result(), is(MoveOutcome.Result.ROLLED_BACK));
      assertThat(nodes.outcome().reason(), equalTo("failures in another zone"));
      assertThat(nodes.outcome().highestShare(), closeTo(0.2, 0));
    }
  }

  @Nested
  class OperatorStop {

    @Test
    void returnsAllTrafficToOldVersionAtOnce() {
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
  class MoveWithTooFewSlots {

    @Test
    void holdsShareAtCapacityOfReadySlots() {
      nodes.setNewVersionSlots(1);
      nodes.start(nodes.move(60, 5));

      nodes.run(40);

      assertThat(nodes.newVersionShare(), lessThanOrEqualTo(0.5));
      assertThat(nodes.reasons(), hasItem(containsString("ready slots")));
    }

    @Test
    void isRolledBackAtDeadline() {
      nodes.setNewVersionSlots(1);
      nodes.start(nodes.move(60, 5));

      nodes.run(60);

      assertThat(nodes.outcome().result(), is(MoveOutcome.Result.ROLLED_BACK));
      assertThat(nodes.outcome().reason(), containsString("deadline"));
    }

    @Test
    void sendsNoTrafficToVersionWithoutReadyTarget() {
      nodes.setNewVersionSlots(0);
      nodes.start(nodes.move(60, 5));

      nodes.run(10);

      assertThat(nodes.newVersionShare(), closeTo(0, 0));
    }
  }

  @Nested
  class MoveOfSingleRoute {

    @Test
    void doesNotAffectOtherRoutes() {
      nodes.start(nodes.routeMove(Optional.of("other"), 60, 5));

      nodes.run(30);

      assertThat(nodes.newVersionShare(), closeTo(0, 0));
    }

    @Test
    void leavesRouteOnNewVersionWhenDone() {
      nodes.start(nodes.routeMove(Optional.of("orders"), 60, 5));

      nodes.run(60);

      assertThat(nodes.outcome().result(), is(MoveOutcome.Result.DONE));
      assertThat(nodes.newVersionShare(), closeTo(1, 0));
    }
  }
}
