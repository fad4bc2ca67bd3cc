package org.cuminlatch.core.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.cuminlatch.core.target.TargetLife.Change;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("The life of a target")
class TargetLifeTests {

  private final TargetLife life = new TargetLife();

  private static TargetReport report(String instance, long born, long sequence, boolean ready) {
    return new TargetReport(instance, born, sequence, "bookings", "v1", 6, ready, Duration.ZERO);
  }

  @Nested
  class OfOneStart {

    @Test
    void beginsWithTheFirstReport() {
      assertThat(life.takesRequests(), is(false));
      assertThat(life.report(report("i-1", 100, 1, true)), is(Change.READY));
      assertThat(life.takesRequests(), is(true));
    }

    @Test
    void isNotChangedByTheSameWordAgain() {
      life.report(report("i-1", 100, 1, true));

      assertThat(life.report(report("i-1", 100, 2, true)), is(Change.NONE));
    }

    @Test
    void endsWithTheWordThatItLeaves() {
      life.report(report("i-1", 100, 1, true));

      assertThat(life.report(report("i-1", 100, 2, false)), is(Change.LEAVES));
      assertThat(life.takesRequests(), is(false));
    }

    @Test
    void isNotBegunAgainByLateReadyReports() {
      life.report(report("i-1", 100, 1, true));
      life.report(report("i-1", 100, 3, false));

      assertThat(life.report(report("i-1", 100, 2, true)), is(Change.STALE));
      assertThat(life.report(report("i-1", 100, 4, true)), is(Change.LEFT_BEFORE));
      assertThat(life.takesRequests(), is(false));
    }

    @Test
    void endsWithItsDeregistration() {
      life.report(report("i-1", 100, 1, true));

      assertThat(life.deregister("i-1", 0), is(Change.LEAVES));
      assertThat(life.deregister("i-1", 100), is(Change.NONE));
      assertThat(life.takesRequests(), is(false));
    }
  }

  @Nested
  class OfSeveralStarts {

    @Test
    void goesOnWithTheLaterStartUnderTheSameName() {
      life.report(report("i-1", 100, 7, true));
      life.report(report("i-1", 100, 8, false));

      assertThat(life.report(report("i-1", 200, 1, true)), is(Change.READY));
      assertThat(life.takesRequests(), is(true));
    }

    @Test
    void ignoresWhatTheEarlierStartSaidLate() {
      life.report(report("i-2", 200, 1, true));

      assertThat(life.report(report("i-1", 100, 9, false)), is(Change.STALE));
      assertThat(life.deregister("i-1", 100), is(Change.STALE));
      assertThat(life.takesRequests(), is(true));
    }
  }

  @Nested
  class AfterTheNodeStartedAnew {

    @Test
    void remembersThatTheTargetLeft() {
      life.restore(new TargetExit("i-1", 100));

      assertThat(life.report(report("i-1", 100, 5, true)), is(Change.LEFT_BEFORE));
      assertThat(life.takesRequests(), is(false));
    }

    @Test
    void takesTheNextStart() {
      life.restore(new TargetExit("i-1", 100));

      assertThat(life.report(report("i-2", 150, 1, true)), is(Change.READY));
    }

    @Test
    void ignoresStartsBeforeTheOneThatLeft() {
      life.restore(new TargetExit("i-1", 100));

      assertThat(life.report(report("i-0", 50, 1, true)), is(Change.STALE));
    }
  }
}
