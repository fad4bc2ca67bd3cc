package org.cuminlatch.core.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A node that is behind")
class CatchUpTests {

  /** Time after its storing within which a configuration has to be in force everywhere. */
  private static final Duration BOUND = Duration.ofSeconds(2);

  private final CatchUp catchUp = new CatchUp();
  private Instant now = Instant.EPOCH;

  private boolean after(Duration passed, long own, long newest) {
    now = now.plus(passed);
    return catchUp.mayAsk(own, newest, now);
  }

  @Nested
  class WhileTheStoreDelivers {

    @Test
    void doesNotAskForWhatComesInTime() {
      assertThat(after(Duration.ZERO, 4, 5), is(false));
      assertThat(after(Duration.ofMillis(200), 4, 5), is(false));
      assertThat(after(Duration.ofMillis(10), 5, 5), is(false));
      assertThat(after(Duration.ofSeconds(9), 5, 6), is(false));
    }

    @Test
    void doesNotAskDuringSeriesOfVersionsThatItKeepsUpWith() {
      for (long version = 5; version < 40; version++) {
        assertThat(after(Duration.ofMillis(200), version - 1, version), is(false));
        assertThat(after(Duration.ofMillis(100), version, version), is(false));
      }
    }
  }

  @Nested
  class WhileTheStoreIsSilent {

    @Test
    void asksWellWithinTheBound() {
      after(Duration.ZERO, 4, 5);

      assertThat(after(BOUND.dividedBy(4), 4, 5), is(true));
    }

    @Test
    void asksWithinTheBoundThoughNewerVersionsKeepComing() {
      boolean asked = false;
      for (int tick = 0; tick <= 5; tick++) {
        asked |= after(Duration.ofMillis(100), 4, 5 + tick);
      }

      assertThat(asked, is(true));
    }

    @Test
    void asksAgainWhenNothingCameOfIt() {
      after(Duration.ZERO, 4, 5);
      after(BOUND.dividedBy(4), 4, 5);

      assertThat(after(Duration.ofMillis(100), 4, 5), is(false));
      assertThat(after(BOUND.dividedBy(2), 4, 5), is(true));
    }
  }
}
