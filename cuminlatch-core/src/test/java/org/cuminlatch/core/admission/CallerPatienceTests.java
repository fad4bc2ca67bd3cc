package org.cuminlatch.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("The estimate of a caller's wait")
class CallerPatienceTests {

  private static final Duration ALLOWED = Duration.ofMillis(1200);

  private final CallerPatience patience = new CallerPatience();

  private void recordNewRequests(int number) {
    for (int i = 0; i < number; i++) {
      patience.waitedBefore("lookup", ALLOWED);
    }
  }

  private Duration waited(long allowedMillis) {
    return patience.waitedBefore("lookup", Duration.ofMillis(allowedMillis));
  }

  @Nested
  class OnRouteWithFixedTime {

    @Test
    void isZeroForNewRequests() {
      recordNewRequests(100);

      assertThat(waited(1200), is(Duration.ZERO));
    }

    @Test
    void isZeroUntilSomeRequestsAreKnown() {
      recordNewRequests(10);

      assertThat(waited(900), is(Duration.ZERO));
    }

    @Test
    void isTheTimeThatReturningCallerHasUsed() {
      recordNewRequests(20);

      assertThat(waited(900), is(Duration.ofMillis(300)));
    }

    @Test
    void isKnownWhileHalfOfTheRequestsReturn() {
      for (int i = 0; i < 200; i++) {
        recordNewRequests(1);
        waited(900);
      }

      assertThat(waited(900), is(Duration.ofMillis(300)));
    }

    @Test
    void isNotChangedByFewRequestsThatAllowMore() {
      for (int i = 0; i < 20; i++) {
        recordNewRequests(15);
        assertThat(waited(5000), is(Duration.ZERO));
      }

      assertThat(waited(1200), is(Duration.ZERO));
      assertThat(waited(900), is(Duration.ofMillis(300)));
    }

    @Test
    void followsTheTimeIfAllCallersAllowLess() {
      recordNewRequests(200);
      for (int i = 0; i < 2 * CallerPatience.SAMPLES; i++) {
        waited(600);
      }

      assertThat(waited(600), is(Duration.ZERO));
      assertThat(waited(500), is(Duration.ofMillis(100)));
    }

    @Test
    void isKeptApartByRoute() {
      recordNewRequests(100);

      assertThat(patience.waitedBefore("booking", Duration.ofMillis(900)), is(Duration.ZERO));
    }
  }

  @Nested
  class OnRouteOfCallsThatInheritDeadlines {

    @Test
    void isZeroAsTheTimesVary() {
      SplittableRandom random = new SplittableRandom(3);
      for (int i = 0; i < 20 * CallerPatience.SAMPLES; i++) {
        waited(random.nextInt(200, 1200));
      }

      assertThat(waited(300), is(Duration.ZERO));
    }
  }
}
