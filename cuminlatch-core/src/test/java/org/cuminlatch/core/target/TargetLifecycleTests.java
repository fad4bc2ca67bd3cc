package org.cuminlatch.core.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import org.cuminlatch.core.target.TargetLifecycle.Change;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("The lifecycle of a target")
class TargetLifecycleTests {

  private final TargetLifecycle lifecycle = new TargetLifecycle();

  private static TargetReport report(String instance, long born, long sequence, boolean ready) {
    return new TargetReport(
        instance, born, sequence, "bookings", "v1", 6, ready, Optional.of(Duration.ZERO));
  }

  @Nested
  class WithOneStart {

    @Test
    void acceptsRequestsAfterFirstReadyReport() {
      assertThat(lifecycle.takesRequests(), is(false));
      assertThat(lifecycle.report(report("i-1", 100, 1, true)), is(Change.READY));
      assertThat(lifecycle.takesRequests(), is(true));
    }

    @Test
    void ignoresRepeatedReport() {
      lifecycle.report(report("i-1", 100, 1, true));

      assertThat(lifecycle.report(report("i-1", 100, 2, true)), is(Change.NONE));
    }

    @Test
    void stopsAcceptingRequestsAfterLeavingReport() {
      lifecycle.report(report("i-1", 100, 1, true));

      assertThat(lifecycle.report(report("i-1", 100, 2, false)), is(Change.LEAVES));
      assertThat(lifecycle.takesRequests(), is(false));
    }

    @Test
    void ignoresReadyReportsAfterLeaving() {
      lifecycle.report(report("i-1", 100, 1, true));
      lifecycle.report(report("i-1", 100, 3, false));

      assertThat(lifecycle.report(report("i-1", 100, 2, true)), is(Change.STALE));
      assertThat(lifecycle.report(report("i-1", 100, 4, true)), is(Change.LEFT_BEFORE));
      assertThat(lifecycle.takesRequests(), is(false));
    }

    @Test
    void stopsAcceptingRequestsAfterDeregistration() {
      lifecycle.report(report("i-1", 100, 1, true));

      assertThat(lifecycle.deregister("i-1", 0), is(Change.LEAVES));
      assertThat(lifecycle.deregister("i-1", 100), is(Change.NONE));
      assertThat(lifecycle.takesRequests(), is(false));
    }
  }

  @Nested
  class WithSeveralStarts {

    @Test
    void acceptsRequestsAfterLaterStartOfSameInstance() {
      lifecycle.report(report("i-1", 100, 7, true));
      lifecycle.report(report("i-1", 100, 8, false));

      assertThat(lifecycle.report(report("i-1", 200, 1, true)), is(Change.READY));
      assertThat(lifecycle.takesRequests(), is(true));
    }

    @Test
    void ignoresLateReportsOfEarlierStart() {
      lifecycle.report(report("i-2", 200, 1, true));

      assertThat(lifecycle.report(report("i-1", 100, 9, false)), is(Change.STALE));
      assertThat(lifecycle.deregister("i-1", 100), is(Change.STALE));
      assertThat(lifecycle.takesRequests(), is(true));
    }

    @Test
    void stopsAcceptingRequestsAfterDeregistrationOfLaterStartThatHasNotReported() {
      lifecycle.report(report("i-1", 100, 1, true));

      assertThat(lifecycle.deregister("i-2", 200), is(Change.LEAVES));
      assertThat(lifecycle.takesRequests(), is(false));
      assertThat(lifecycle.report(report("i-2", 200, 1, true)), is(Change.LEFT_BEFORE));
      assertThat(lifecycle.report(report("i-1", 100, 2, true)), is(Change.STALE));
    }

    @Test
    void stopsAcceptingRequestsAfterDeregistrationOfLaterStartOfSameInstance() {
      lifecycle.report(report("i-1", 100, 1, true));

      assertThat(lifecycle.deregister("i-1", 200), is(Change.LEAVES));
      assertThat(lifecycle.takesRequests(), is(false));
      assertThat(lifecycle.report(report("i-1", 200, 1, true)), is(Change.LEFT_BEFORE));
    }
  }

  @Nested
  class AfterNodeRestart {

    @Test
    void ignoresLateDeregistrationOfStartBeforeTheOneThatHasLeft() {
      lifecycle.restore(new TargetExit("i-2", 200));

      assertThat(lifecycle.deregister("i-1", 100), is(Change.STALE));
      assertThat(lifecycle.report(report("i-2", 200, 1, true)), is(Change.LEFT_BEFORE));
    }

    @Test
    void keepsStartThatHasLeftIfItsDeregistrationIsRepeatedWithoutStart() {
      lifecycle.restore(new TargetExit("i-1", 100));

      assertThat(lifecycle.deregister("i-1", 0), is(Change.NONE));
      assertThat(lifecycle.report(report("i-1", 100, 5, true)), is(Change.LEFT_BEFORE));
    }

    @Test
    void stopsAcceptingRequestsOfStartBeforeTheOneThatIsRestored() {
      lifecycle.report(report("i-1", 100, 1, true));

      lifecycle.restore(new TargetExit("i-2", 200));

      assertThat(lifecycle.takesRequests(), is(false));
    }

    @Test
    void rejectsReadyReportOfStartThatHasLeft() {
      lifecycle.restore(new TargetExit("i-1", 100));

      assertThat(lifecycle.report(report("i-1", 100, 5, true)), is(Change.LEFT_BEFORE));
      assertThat(lifecycle.takesRequests(), is(false));
    }

    @Test
    void acceptsNextStart() {
      lifecycle.restore(new TargetExit("i-1", 100));

      assertThat(lifecycle.report(report("i-2", 150, 1, true)), is(Change.READY));
    }

    @Test
    void ignoresStartsBeforeTheOneThatHasLeft() {
      lifecycle.restore(new TargetExit("i-1", 100));

      assertThat(lifecycle.report(report("i-0", 50, 1, true)), is(Change.STALE));
    }
  }
}
