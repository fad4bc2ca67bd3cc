package org.cuminlatch.core.retry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The history of attempts")
class AttemptMemoryTests {

  private static final AttemptId ID = new AttemptId(1, 2);
  private static final AttemptId OTHER = new AttemptId(1, 3);

  private final Instant start = Instant.EPOCH;
  private final AttemptMemory<String> history = new AttemptMemory<>(start);

  @Test
  void findsStoredValue() {
    history.remember(ID, "booked", start);

    assertThat(history.find(ID), is(Optional.of("booked")));
    assertThat(history.find(OTHER).isEmpty(), is(true));
  }

  @Test
  void isNotCompleteBeforeItsCreation() {
    Instant now = start.plusSeconds(10);

    assertThat(history.reachesBack(Duration.ofSeconds(9), now), is(true));
    assertThat(history.reachesBack(Duration.ofSeconds(10), now), is(false));
  }

  @Test
  void isNotCompleteBeforeLastExpiredAttempt() {
    history.remember(ID, "old", start.plusSeconds(5));
    Instant afterRetention = start.plusSeconds(5).plus(AttemptMemory.RETENTION).plusSeconds(1);
    history.remember(OTHER, "new", afterRetention);

    assertThat(history.find(ID).isEmpty(), is(true));
    assertThat(history.reachesBack(Duration.ofSeconds(62), afterRetention), is(false));
    assertThat(history.reachesBack(Duration.ofSeconds(60), afterRetention), is(true));
  }

  @Test
  void removesOldestAttemptWhenFullAndIsNotCompleteSinceThen() {
    Instant now = start;
    for (int i = 0; i <= AttemptMemory.MAX_ATTEMPTS; i++) {
      now = start.plusMillis(i + 1);
      history.remember(new AttemptId(9, i), "kept", now);
    }

    assertThat(history.find(new AttemptId(9, 0)).isEmpty(), is(true));
    assertThat(history.find(new AttemptId(9, 1)).isPresent(), is(true));
    Duration sinceFirst = Duration.between(start.plusMillis(1), now);
    assertThat(history.reachesBack(sinceFirst, now), is(false));
  }
}
