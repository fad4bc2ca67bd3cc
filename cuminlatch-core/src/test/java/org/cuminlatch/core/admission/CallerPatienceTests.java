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

  @Nested
  class OnRouteWithFixedTime {

    @Test
    void isZeroForNewRequests() {
      for (int i = 0; i < 100; i++) {
        assertThat(patience.waitedBefore("lookup", ALLOWED), is(Duration.ZERO));
      }
    }

    @Test
    void isTheTimeThatReturningCallerHasUsed() {
      patience.waitedBefore("lookup", ALLOWED);

      assertThat(
          patience.waitedBefore("lookup", Duration.ofMillis(900)), is(Duration.ofMillis(300)));
    }

    @Test
    void isKnownWhileHalfOfTheRequestsReturn() {
      for (int i = 0; i < 500; i++) {
        patience.waitedBefore("lookup", ALLOWED);
        assertThat(
            patience.waitedBefore("lookup", Duration.ofMillis(1000)), is(Duration.ofMillis(200)));
      }
    }

    @Test
    void isKeptApartByRoute() {
      patience.waitedBefore("lookup", ALLOWED);

      assertThat(patience.waitedBefore("booking", Duration.ofMillis(900)), is(Duration.ZERO));
    }
  }

  @Nested
  class OnRouteOfCallsThatInheritDeadlines {

    @Test
    void isZeroAsTheTimesVary() {
      SplittableRandom random = new SplittableRandom(3);
      for (int i = 0; i < 200; i++) {
        patience.waitedBefore("check", Duration.ofMillis(random.nextInt(200, 1200)));
      }

      assertThat(patience.waitedBefore("check", Duration.ofMillis(300)), is(Duration.ZERO));
    }
  }
}
