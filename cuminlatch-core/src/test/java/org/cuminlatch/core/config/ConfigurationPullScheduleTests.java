package org.cuminlatch.core.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("The schedule of configuration pulls from peers")
class ConfigurationPullScheduleTests {

  /** Time after being stored within which a configuration must be in force on all nodes. */
  private static final Duration IN_FORCE_DEADLINE = Duration.ofSeconds(2);

  private final ConfigurationPullSchedule pullSchedule = new ConfigurationPullSchedule();
  private Instant now = Instant.EPOCH;

  private boolean shouldPullAfter(Duration passed, long own, long newest) {
    now = now.plus(passed);
    return pullSchedule.shouldPull(own, newest, now);
  }

  @Nested
  class WhenStoreDelivers {

    @Test
    void doesNotPullVersionsDeliveredInTime() {
      assertThat(shouldPullAfter(Duration.ZERO, 4, 5), is(false));
      assertThat(shouldPullAfter(Duration.ofMillis(200), 4, 5), is(false));
      assertThat(shouldPullAfter(Duration.ofMillis(10), 5, 5), is(false));
      assertThat(shouldPullAfter(Duration.ofSeconds(9), 5, 6), is(false));
    }

    @Test
    void doesNotPullDuringSeriesOfVersionsDeliveredInTime() {
      for (long version = 5; version < 40; version++) {
        assertThat(shouldPullAfter(Duration.ofMillis(200), version - 1, version), is(false));
        assertThat(shouldPullAfter(Duration.ofMillis(100), version, version), is(false));
      }
    }
  }

  @Nested
  class WhenStoreIsSilent {

    @Test
    void pullsWellBeforeDeadline() {
      shouldPullAfter(Duration.ZERO, 4, 5);

      assertThat(shouldPullAfter(IN_FORCE_DEADLINE.dividedBy(4), 4, 5), is(true));
    }

    @Test
    void pullsBeforeDeadlineWhileNewerVersionsKeepArriving() {
      boolean pulled = false;
      for (int tick = 0; tick <= 5; tick++) {
        pulled |= shouldPullAfter(Duration.ofMillis(100), 4, 5 + tick);
      }

      assertThat(pulled, is(true));
    }

    @Test
    void repeatsPullThatBroughtNoNewVersion() {
      shouldPullAfter(Duration.ZERO, 4, 5);
      shouldPullAfter(IN_FORCE_DEADLINE.dividedBy(4), 4, 5);

      assertThat(shouldPullAfter(Duration.ofMillis(100), 4, 5), is(false));
      assertThat(shouldPullAfter(IN_FORCE_DEADLINE.dividedBy(2), 4, 5), is(true));
    }
  }
}
