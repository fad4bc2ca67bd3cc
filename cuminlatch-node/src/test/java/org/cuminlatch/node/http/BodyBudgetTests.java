package org.cuminlatch.node.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A budget for bodies")
class BodyBudgetTests {

  private final BodyBudget budget = new BodyBudget(1000, 200, 2000);

  @Nested
  class ForLargeBodies {

    @Test
    void leavesTheReserveToSmallOnes() {
      assertThat(budget.tryReserve(800), is(true));
      assertThat(budget.tryReserve(1), is(false));
      assertThat(budget.tryReserveSmall(200), is(true));
      assertThat(budget.tryReserveSmall(1), is(false));
    }

    @Test
    void reservesNothingIfThereIsNoRoomForAll() {
      budget.tryReserve(700);

      assertThat(budget.tryReserve(101), is(false));
      assertThat(budget.reserved(), is(700L));
    }

    @Test
    void countsSmallOnesThatGoBeyondTheReserve() {
      budget.tryReserveSmall(900);

      assertThat(budget.tryReserve(1), is(false));
    }
  }

  @Nested
  class WhenBytesAreReleased {

    private final AtomicInteger notices = new AtomicInteger();

    @Test
    void hasRoomAgain() {
      budget.tryReserve(800);
      budget.release(300);

      assertThat(budget.tryReserve(300), is(true));
    }

    @Test
    void tellsItsListenersIfSomethingWaits() {
      budget.addRoomListener(notices::incrementAndGet);
      budget.tryReserve(800);
      budget.beginWait();

      budget.release(1);

      assertThat(notices.get(), is(1));
      assertThat(budget.isAwaited(), is(true));
    }

    @Test
    void tellsNobodyIfNothingWaits() {
      budget.addRoomListener(notices::incrementAndGet);
      budget.tryReserve(800);
      budget.beginWait();
      budget.endWait();

      budget.release(1);

      assertThat(notices.get(), is(0));
    }

    @Test
    void rejectsMoreThanIsReserved() {
      budget.tryReserve(5);

      assertThrows(RuntimeException.class, () -> budget.release(6));
      assertThat(budget.reserved(), is(5L));
    }
  }

  @Test
  void isQuarterOfTheHeap() {
    assertThat(BodyBudget.ofHeap(96 << 20).capacity(), is(24L << 20));
  }

  @Nested
  class WithOversizedBody {

    @Test
    void hasRoomOnlyForSmallOnesInTheirReserve() {
      budget.tryReserve(800);
      budget.tryReserveSmall(150);

      assertThat(budget.tryBeginOversized(800), is(true));
      assertThat(budget.tryReserveOversized(1200), is(true));
      assertThat(budget.tryReserveOversized(1), is(false));
      assertThat(budget.tryReserve(1), is(false));
      assertThat(budget.tryReserveSmall(50), is(true));
      assertThat(budget.tryReserveSmall(1), is(false));
    }

    @Test
    void hasNoRoomForSecondOne() {
      budget.tryBeginOversized(0);

      assertThat(budget.tryBeginOversized(0), is(false));
    }

    @Test
    void doesNotBeginItBesideOtherLargeOnes() {
      budget.tryReserve(800);

      assertThat(budget.tryBeginOversized(500), is(false));
      assertThat(budget.reserved(), is(800L));
    }

    @Test
    void hasAllRoomOnceItIsGivenUp() {
      budget.tryReserve(800);
      budget.tryBeginOversized(800);
      budget.releaseOversized();

      assertThat(budget.reserved(), is(0L));
      assertThat(budget.tryReserve(800), is(true));
    }
  }
}
