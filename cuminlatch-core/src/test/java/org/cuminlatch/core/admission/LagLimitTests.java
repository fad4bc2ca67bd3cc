package org.cuminlatch.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("The lag limit")
class LagLimitTests {

  @Test
  void acceptsAllPrioritiesWithoutLag() {
    assertThat(LagLimit.retryAfter(2, Duration.ZERO), is(Optional.empty()));
  }

  @Test
  void refusesOnlyLowPrioritiesAboveLowPriorityMaxLag() {
    Duration lag = LagLimit.LOW_PRIORITY_MAX_LAG.plusMillis(1);

    assertThat(LagLimit.retryAfter(2, lag), is(Optional.of(lag)));
    assertThat(LagLimit.retryAfter(1, lag), is(Optional.empty()));
  }

  @Test
  void refusesAllPrioritiesAboveMaxLag() {
    Duration lag = LagLimit.MAX_LAG.plusMillis(1);

    assertThat(LagLimit.retryAfter(0, lag), is(Optional.of(lag)));
  }

  /**
   * Simulates 60 calls per second for 6 s at a node whose time per call falls from 100 ms to 2 ms
   * within 3 s. Refusing a call takes 2 ms; callers wait 1 s for an answer.
   */
  @Nested
  class WhileNodeWarmsUp {

    private static final double DEADLINE_SECONDS = 1;
    private static final double REFUSAL_SECONDS = 0.002;

    @Test
    void servesMoreCallsThanWithoutLimit() {
      assertThat(simulate(true).served(), greaterThan(simulate(false).served()));
    }

    @Test
    void acceptsOnlyCallsThatMeetTheirDeadline() {
      Result result = simulate(true);

      assertThat(result.served(), is(result.accepted()));
    }

    private Result simulate(boolean limited) {
      double freeAt = 0;
      int served = 0;
      int accepted = 0;
      for (int i = 0; i < 360; i++) {
        double arrival = i / 60.0;
        freeAt = Math.max(freeAt, arrival);
        Duration lag = Duration.ofNanos((long) ((freeAt - arrival) * 1e9));
        if (limited && LagLimit.retryAfter(1, lag).isPresent()) {
          freeAt += REFUSAL_SECONDS;
        } else {
          accepted++;
          freeAt += Math.max(0.002, 0.1 * (1 - freeAt / 3));
          served += freeAt - arrival <= DEADLINE_SECONDS ? 1 : 0;
        }
      }
      return new Result(served, accepted);
    }

    private record Result(int served, int accepted) {}
  }
}
