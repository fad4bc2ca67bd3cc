package org.cuminlatch.core.move;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.cuminlatch.core.move.MoveStatement.State;
import org.cuminlatch.core.move.OrderHistory.Kind;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("An order that is read")
class OrderHistoryTests {

  private final OrderHistory history = new OrderHistory();

  private static MoveOrder order(long era, long offset, String version) {
    return new MoveOrder(
        new OrderPosition(era, offset).id(), "bookings", version, Duration.ofMinutes(5));
  }

  private static MoveStatement statement(MoveOrder order) {
    return new MoveStatement("bookings", order.version(), State.COMPLETED, order.id(), 0);
  }

  private Kind early(MoveOrder order) {
    return history.classify(order, false);
  }

  private Kind late(MoveOrder order) {
    return history.classify(order, true);
  }

  @BeforeEach
  void readTwoOrders() {
    history.accept(order(1, 50, "v1"));
    history.accept(order(1, 100, "v2"));
  }

  @Nested
  class InTheSameEra {

    @Test
    void isNewIfItIsLaterAlsoWithTheSameContent() {
      assertThat(late(order(1, 101, "v2")), is(Kind.NEW));
      assertThat(late(order(1, 100, "v2")), is(Kind.SAME));
      assertThat(late(order(1, 99, "v3")), is(Kind.EARLIER));
    }
  }

  @Nested
  class AfterReturnOfTheStore {

    /** Guards against a second run of a move whose order the operator has written again. */
    @Test
    void isTheSameWhateverItsOffset() {
      assertThat(early(order(2, 93, "v2")), is(Kind.SAME));
      assertThat(early(order(2, 130, "v2")), is(Kind.SAME));
    }

    /** Guards against a return to an earlier version, whose order is the newest of the copy. */
    @Test
    void isNotFollowedIfItIsTheOneBefore() {
      assertThat(early(order(2, 50, "v1")), is(Kind.UNCLEAR));
      assertThat(early(order(2, 110, "v1")), is(Kind.UNCLEAR));
      assertThat(early(order(2, 70, "v0")), is(Kind.UNCLEAR));
    }

    @Test
    void isNewIfItsOffsetIsHigher() {
      assertThat(early(order(2, 101, "v3")), is(Kind.NEW));
    }

    /** Guards against a new order that is never followed because offsets have gone back. */
    @Test
    void isNewAtLowerOffsetOnceTheLatestOrderWasReadAgain() {
      history.recordPosition(order(2, 93, "v2").id());

      assertThat(early(order(2, 95, "v3")), is(Kind.NEW));
      assertThat(early(order(2, 95, "v2")), is(Kind.NEW));
      assertThat(early(order(1, 100, "v2")), is(Kind.SAME));
      assertThat(early(order(1, 105, "v3")), is(Kind.EARLIER));
    }

    @Test
    void isNewOnceTheOperatorHadTimeToWriteAgain() {
      assertThat(late(order(2, 95, "v3")), is(Kind.NEW));
      assertThat(late(order(2, 95, "v2")), is(Kind.NEW));
      assertThat(late(order(2, 100, "v2")), is(Kind.SAME));
    }

    @Test
    void isToldToOthersIfItHasMoved() {
      assertThat(history.recordPosition(order(2, 100, "v2").id()), is(false));
      assertThat(history.recordPosition(order(3, 93, "v2").id()), is(true));
      assertThat(history.recordPosition(order(2, 93, "v2").id()), is(false));
    }
  }

  @Nested
  class WithStatement {

    @Test
    void isStatedAtEachOfItsPositions() {
      history.recordPosition(order(2, 93, "v2").id());
      history.recordPosition(order(3, 93, "v2").id());

      assertThat(history.isStatedBy(statement(order(1, 100, "v2"))), is(true));
      assertThat(history.isStatedBy(statement(order(2, 93, "v2"))), is(true));
      assertThat(history.isStatedBy(statement(order(3, 93, "v2"))), is(true));
      assertThat(history.isStatedBy(statement(order(1, 50, "v2"))), is(false));
      assertThat(history.isStatedBy(statement(order(3, 99, "v2"))), is(false));
    }

    /** Guards against a restarted node that runs an ended move again. */
    @Test
    void isStatedByContentInEarlierEra() {
      OrderHistory restarted = new OrderHistory();
      restarted.accept(order(2, 93, "v2"));

      assertThat(restarted.isStatedBy(statement(order(1, 100, "v2"))), is(true));
      assertThat(restarted.isStatedBy(statement(order(1, 100, "v1"))), is(false));
      assertThat(restarted.isStatedBy(statement(order(2, 90, "v2"))), is(false));
    }

    /** Guards against the end of an order that ends the same order when it is given again. */
    @Test
    void isNotStatedByTheEndOfTheOrderBefore() {
      history.accept(order(2, 120, "v2"));

      assertThat(history.isStatedBy(statement(order(1, 100, "v2"))), is(false));
    }
  }
}
