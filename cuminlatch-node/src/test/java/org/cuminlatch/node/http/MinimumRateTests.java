package org.cuminlatch.node.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The minimum rate of a transfer")
class MinimumRateTests {

  private Instant now = Instant.EPOCH;
  private final MinimumRate rate = new MinimumRate(() -> now, Duration.ofSeconds(10), 100);

  private void pass(int seconds) {
    now = now.plusSeconds(seconds);
  }

  @Test
  void isNotMissedBeforeThePeriodEnds() {
    pass(9);

    assertThat(rate.isMissed(), is(false));
  }

  @Test
  void isMissedByTooFewBytes() {
    rate.record(99);
    pass(10);

    assertThat(rate.isMissed(), is(true));
  }

  @Test
  void isKeptByEnoughBytesInEachPeriod() {
    for (int period = 0; period < 5; period++) {
      rate.record(100);
      pass(10);
      assertThat(rate.isMissed(), is(false));
    }
  }

  /** Guards against a transfer that was fast at first and then occupies its room for long. */
  @Test
  void doesNotCountBytesOfEarlierPeriods() {
    rate.record(100_000);
    pass(10);
    assertThat(rate.isMissed(), is(false));
    pass(10);

    assertThat(rate.isMissed(), is(true));
  }

  /** Guards against a client that is refused for a pause that the server made. */
  @Test
  void doesNotCountTimeBeforeRestart() {
    pass(9);
    rate.restart();
    pass(9);

    assertThat(rate.isMissed(), is(false));
    assertThat(rate.sinceProgress(), is(Duration.ofSeconds(9)));
  }

  @Test
  void tellsTheTimeSinceTheLastByte() {
    rate.record(1);
    pass(3);
    rate.record(0);

    assertThat(rate.sinceProgress(), is(Duration.ofSeconds(3)));
  }
}
