package org.cuminlatch.node.event;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("The budget of log lines")
class LogRateLimiterTests {

  private final LogRateLimiter budget = new LogRateLimiter();
  private Instant now = Instant.EPOCH;

  private long keep(int lines, boolean onRequests) {
    return IntStream.range(0, lines).filter(i -> budget.take(onRequests, now)).count();
  }

  /** The load: ten times the lines on requests that the budget allows, in each second. */
  @Nested
  class UnderTenTimesTheLoad {

    private static final int LINES = 10 * LogRateLimiter.REQUEST_LINES;

    @Test
    void holdsInEachSecond() {
      for (int second = 0; second < 5; second++) {
        assertThat(keep(LINES, true), is((long) LogRateLimiter.REQUEST_LINES));
        now = now.plus(Duration.ofSeconds(1));
      }
    }

    @Test
    void leavesRoomForBeliefs() {
      keep(LINES, true);

      assertThat(budget.take(false, now), is(true));
    }

    @Test
    void countsWhatIsDropped() {
      keep(LINES, true);

      assertThat(budget.takeDropped(), is((long) LINES - LogRateLimiter.REQUEST_LINES));
      assertThat(budget.takeDropped(), is(0L));
    }
  }

  @Nested
  class WhileBeliefsChangeWithoutEnd {

    @Test
    void holdsForThemToo() {
      assertThat(keep(10_000, false), is((long) LogRateLimiter.BELIEF_LINES));
      assertThat(keep(1, true), greaterThan(0L));
    }
  }
}
