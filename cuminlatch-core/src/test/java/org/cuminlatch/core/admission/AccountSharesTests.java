package org.cuminlatch.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("Shares of slots by account")
class AccountSharesTests {

  private static final double WORK = 200e6;
  private static final Duration INTERVAL = Duration.ofMillis(40);

  private final AccountShares shares = new AccountShares();
  private Instant now = Instant.EPOCH;

  private static RequestOrigin account(String name, double weight) {
    return new RequestOrigin(false, name, weight);
  }

  /** Gives slots to two accounts, of which the first gets a given number of each ten. */
  private void admit(int requests, int ofTen, RequestOrigin one, RequestOrigin other) {
    for (int i = 0; i < requests; i++) {
      shares.onAdmitted(i % 10 < ofTen ? one : other, WORK, now);
      now = now.plus(INTERVAL);
    }
  }

  @Nested
  class OfEqualWeight {

    private final RequestOrigin one = account("one", 0);
    private final RequestOrigin other = account("other", 0);

    @Test
    void areExceededByAccountThatGetsMost() {
      admit(200, 9, one, other);

      assertThat(shares.isOverShare(one, WORK), is(true));
      assertThat(shares.isOverShare(other, WORK), is(false));
    }

    @Test
    void areNotExceededByAccountsThatGetTheSame() {
      admit(200, 5, one, other);

      assertThat(shares.isOverShare(one, WORK), is(false));
      assertThat(shares.isOverShare(other, WORK), is(false));
    }

    /** A later check must not see work of long ago. */
    @Test
    void areNoLongerExceededAfterLessWork() {
      admit(200, 9, one, other);
      admit(150, 3, one, other);

      assertThat(shares.isOverShare(one, WORK), is(false));
    }

    @Test
    void areNotExceededByTheOnlyAccount() {
      admit(200, 10, one, other);

      assertThat(shares.isOverShare(one, WORK), is(false));
    }
  }

  @Nested
  class OfUnequalWeight {

    @Test
    void areNotExceededByHeavyAccountThatGetsMost() {
      RequestOrigin heavy = account("heavy", 90);
      RequestOrigin light = account("light", 10);
      admit(200, 9, heavy, light);

      assertThat(shares.isOverShare(heavy, WORK), is(false));
      assertThat(shares.isOverShare(light, WORK), is(false));
    }

    /** The requests of a small account arrive at random; few of them say nothing. */
    @Test
    void areNotExceededByTwoRequestsOfLightAccount() {
      RequestOrigin light = account("light", 0.1);
      admit(100, 10, account("heavy", 90), light);
      shares.onAdmitted(light, WORK, now);
      shares.onAdmitted(light, WORK, now);

      assertThat(shares.isOverShare(light, WORK), is(false));
    }
  }

  @Test
  void areNotExceededByCallersWithoutAccount() {
    admit(200, 9, RequestOrigin.CLIENT, account("one", 1));

    assertThat(shares.isOverShare(RequestOrigin.CLIENT, WORK), is(false));
  }
}
