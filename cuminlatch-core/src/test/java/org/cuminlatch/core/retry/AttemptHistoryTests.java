package org.cuminlatch.core.retry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The history of attempts")
class AttemptHistoryTests {

  private static final AttemptId ID = new AttemptId(1, 2);
  private static final AttemptId OTHER = new AttemptId(1, 3);

  private final Instant start = Instant.EPOCH;
  private final AttemptHistory<String> history = new AttemptHistory<>(start);

  @Test
  void findsStoredValue() {
    history.put(ID, "booked", start);

    assertThat(history.find(ID), is(Optional.of("booked")));
    assertThat(history.find(OTHER).isEmpty(), is(true));
  }

  @Test
  void doesNotCoverTimeBeforeItsCreation() {
    Instant now = start.plusSeconds(10);

    assertThat(history.covers(Duration.ofSeconds(9), now), is(true));
    assertThat(history.covers(Duration.ofSeconds(10), now), is(false));
  }

  @Test
  void doesNotCoverTimeOfExpiredAttempt() {
    history.put(ID, "old", start.plusSeconds(5));
    Instant afterRetention = start.plusSeconds(5).plus(AttemptHistory.RETENTION).plusSeconds(1);
    history.put(OTHER, "new", afterRetention);

    assertThat(history.find(ID).isEmpty(), is(true));
    assertThat(history.covers(Duration.ofSeconds(62), afterRetention), is(false));
    assertThat(history.covers(Duration.ofSeconds(60), afterRetention), is(true));
  }

  @Test
  void removesOldestAttemptWhenFullAndDoesNotCoverItsTime() {
    Instant now = start;
    for (int i = 0; i <= AttemptHistory.MAX_ATTEMPTS; i++) {
      now = start.plusMillis(i + 1);
      history.put(new AttemptId(9, i), "kept", now);
    }

    assertThat(history.find(new AttemptId(9, 0)).isEmpty(), is(true));
    assertThat(history.find(new AttemptId(9, 1)).isPresent(), is(true));
    Duration sinceFirst = Duration.between(start.plusMillis(1), now);
    assertThat(history.covers(sinceFirst, now), is(false));
  }
}
