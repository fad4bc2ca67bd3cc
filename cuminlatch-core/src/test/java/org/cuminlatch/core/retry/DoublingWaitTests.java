package org.cuminlatch.core.retry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@DisplayName("A wait that doubles")
class DoublingWaitTests {

  @ParameterizedTest
  @CsvSource({"0, 200", "1, 400", "4, 3200", "5, 5000", "1000, 5000"})
  void growsUpToItsLimit(int doublings, long millis) {
    DoublingWait wait = new DoublingWait(Duration.ofMillis(200), Duration.ofSeconds(5));

    assertThat(wait.longest(doublings), is(Duration.ofMillis(millis)));
  }
}
