package org.cuminlatch.core.retry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("A memory of attempts")
class AttemptMemoryTests {

  private static final AttemptId ID = new AttemptId(1, 2);
  private static final AttemptId OTHER = new AttemptId(1, 3);

  private final Instant start = Instant.EPOCH;
  private final AttemptMemory<String> memory = new AttemptMemory<>(start);

  @Test
  void findsWhatIsKept() {
    memory.remember(ID, "booked", start);

    assertThat(memory.find(ID), is(Optional.of("booked")));
    assertThat(memory.find(OTHER).isEmpty(), is(true));
  }

  @Test
  void knowsNothingOfTheTimeBeforeItBegan() {
    Instant now = start.plusSeconds(10);

    assertThat(memory.reachesBack(Duration.ofSeconds(9), now), is(true));
    assertThat(memory.reachesBack(Duration.ofSeconds(10), now), is(false));
  }

  @Test
  void knowsNothingOfTheTimeOfWhatItForgot() {
    memory.remember(ID, "old", start.plusSeconds(5));
    Instant later = start.plusSeconds(5).plus(AttemptMemory.RETENTION).plusSeconds(1);
    memory.remember(OTHER, "new", later);

    assertThat(memory.find(ID).isEmpty(), is(true));
    assertThat(memory.reachesBack(Duration.ofSeconds(62), later), is(false));
    assertThat(memory.reachesBack(Duration.ofSeconds(60), later), is(true));
  }

  @Test
  void isBoundedInNumberAndAdmitsTheGap() {
    Instant now = start;
    for (int i = 0; i <= AttemptMemory.MAX_ATTEMPTS; i++) {
      now = start.plusMillis(i + 1);
      memory.remember(new AttemptId(9, i), "kept", now);
    }

    assertThat(memory.find(new AttemptId(9, 0)).isEmpty(), is(true));
    assertThat(memory.find(new AttemptId(9, 1)).isPresent(), is(true));
    Duration sinceFirst = Duration.between(start.plusMillis(1), now);
    assertThat(memory.reachesBack(sinceFirst, now), is(false));
  }
}
