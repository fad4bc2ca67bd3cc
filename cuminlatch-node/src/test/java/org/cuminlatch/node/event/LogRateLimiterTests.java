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

@DisplayName("The rate limiter of log lines")
class LogRateLimiterTests {

  private final LogRateLimiter rateLimiter = new LogRateLimiter();
  private Instant now = Instant.EPOCH;

  private long countPermitted(int lines, boolean forRequests) {
    return IntStream.range(0, lines).filter(i -> rateLimiter.tryAcquire(forRequests, now)).count();
  }

  /** Each second brings ten times the request lines that the limiter permits. */
  @Nested
  class UnderTenTimesThePermittedLoad {

    private static final int LINES = 10 * LogRateLimiter.MAX_REQUEST_LINES_PER_SECOND;

    @Test
    void permitsTheMaximumOfRequestLinesInEachSecond() {
      for (int second = 0; second < 5; second++) {
        assertThat(
            countPermitted(LINES, true), is((long) LogRateLimiter.MAX_REQUEST_LINES_PER_SECOND));
        now = now.plus(Duration.ofSeconds(1));
      }
    }

    @Test
    void stillPermitsStateLines() {
      countPermitted(LINES, true);

      assertThat(rateLimiter.tryAcquire(false, now), is(true));
    }

    @Test
    void countsDroppedLinesAndResetsTheCount() {
      countPermitted(LINES, true);

      assertThat(
          rateLimiter.getAndResetDropped(),
          is((long) LINES - LogRateLimiter.MAX_REQUEST_LINES_PER_SECOND));
      assertThat(rateLimiter.getAndResetDropped(), is(0L));
    }
  }

  @Nested
  class WhenStateLinesExceedTheirLimit {

    @Test
    void limitsStateLinesButStillPermitsRequestLines() {
      assertThat(
          countPermitted(10_000, false), is((long) LogRateLimiter.MAX_STATE_LINES_PER_SECOND));
      assertThat(countPermitted(1, true), greaterThan(0L));
    }
  }
}
