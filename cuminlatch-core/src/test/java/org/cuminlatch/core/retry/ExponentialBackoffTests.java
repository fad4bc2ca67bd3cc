package org.cuminlatch.core.retry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@DisplayName("An exponential backoff")
class ExponentialBackoffTests {

  @ParameterizedTest
  @CsvSource({"0, 200", "1, 400", "4, 3200", "5, 5000", "1000, 5000"})
  void doublesDelayUpToMaximum(int doublings, long millis) {
    ExponentialBackoff backoff =
        new ExponentialBackoff(Duration.ofMillis(200), Duration.ofSeconds(5));

    assertThat(backoff.maxDelayAfter(doublings), is(Duration.ofMillis(millis)));
  }
}
