package org.cuminlatch.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A limit by lag")
class LagLimitTests {

  @Test
  void takesOnEverythingWithoutLag() {
    assertThat(LagLimit.refusal(2, Duration.ZERO), is(Optional.empty()));
  }

  @Test
  void refusesLowRanksFirst() {
    Duration lag = LagLimit.LOW_RANKS.plusMillis(1);

    assertThat(LagLimit.refusal(2, lag), is(Optional.of(lag)));
    assertThat(LagLimit.refusal(1, lag), is(Optional.empty()));
  }

  @Test
  void refusesAllRanksAtLongLag() {
    Duration lag = LagLimit.ALL_RANKS.plusMillis(1);

    assertThat(LagLimit.refusal(0, lag), is(Optional.of(lag)));
  }

  /**
   * Plays 60 calls a second for 6 s at a node that needs 100 ms a call at first, 2 ms after 3 s,
   * and 2 ms to refuse one; callers wait for 1 s.
   */
  @Nested
  class AtStart {

    private static final double DEADLINE = 1;
    private static final double REFUSAL_COST = 0.002;

    @Test
    void servesMoreThanTakingOnEverything() {
      assertThat(played(true).served(), greaterThan(played(false).served()));
    }

    @Test
    void takesOnNothingThatIsTooLate() {
      Played played = played(true);

      assertThat(played.served(), is(played.takenOn()));
    }

    private Played played(boolean limited) {
      double free = 0;
      int served = 0;
      int takenOn = 0;
      for (int i = 0; i < 360; i++) {
        double arrival = i / 60.0;
        free = Math.max(free, arrival);
        Duration waited = Duration.ofNanos((long) ((free - arrival) * 1e9));
        if (limited && LagLimit.refusal(1, waited).isPresent()) {
          free += REFUSAL_COST;
        } else {
          takenOn++;
          free += Math.max(0.002, 0.1 * (1 - free / 3));
          served += free - arrival <= DEADLINE ? 1 : 0;
        }
      }
      return new Played(served, takenOn);
    }

    private record Played(int served, int takenOn) {}
  }
}
