package org.cuminlatch.core.evacuation;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("The states of availability zones")
class ZoneStatesTests {

  private static final Instant START = Instant.EPOCH;

  private final ZoneStates states = new ZoneStates();

  private static ZoneState evacuated(long era, long end) {
    return new ZoneState("izmir", true, era, end);
  }

  private static ZoneState inService(long era, long end) {
    return new ZoneState("izmir", false, era, end);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void areThoseOfTheLatestRecordsInWhateverOrderTheyArrive(long seed) {
    List<ZoneState> messages = new ArrayList<>();
    for (int end = 1; end <= 9; end++) {
      messages.add(end % 2 == 1 ? evacuated(1, end) : inService(1, end));
      messages.add(end % 2 == 1 ? inService(2, end) : evacuated(2, end));
    }
    Collections.shuffle(messages, new Random(seed));

    messages.forEach(message -> states.apply(message, START));

    assertThat(states.all(), is(List.of(inService(2, 9))));
  }

  @Test
  void tellOnlyOfChanges() {
    assertThat(states.apply(evacuated(0, 5), START), is(true));
    assertThat(states.apply(evacuated(0, 5), START), is(false));
    assertThat(states.apply(inService(0, 4), START), is(false));
    assertThat(states.applyNewest(List.of(evacuated(0, 5)), 0, 7, START), is(false));
  }

  @Nested
  class AfterReadWithoutRecord {

    @Test
    void areInService() {
      states.apply(evacuated(0, 5), START);

      assertThat(states.applyNewest(List.of(), 0, 7, START), is(true));
      assertThat(states.all(), is(List.of(inService(0, 7))));
    }

    @Test
    void areEvacuatedByRecordAfterTheRead() {
      states.apply(evacuated(0, 8), START);

      states.applyNewest(List.of(), 0, 7, START);

      assertThat(states.evacuated(), is(Set.of("izmir")));
    }

    /** Guards against a node that tells a restarted one of an evacuation that has ended. */
    @Test
    void areNotEvacuatedByOldMessageWhoseSenderIsToldInstead() {
      states.applyNewest(List.of(), 0, 7, START);

      assertThat(states.apply(evacuated(0, 5), START), is(true));
      assertThat(states.all(), is(List.of(inService(0, 7))));
    }

    @Test
    void ignoreLateResponseOfTheStore() {
      states.applyNewest(List.of(), 0, 7, START);

      states.applyNewest(List.of(evacuated(0, 5)), 0, 6, START);

      assertThat(states.evacuated(), empty());
    }
  }

  /** The store has come back from an older copy, which lacks the record. */
  @Nested
  class WhenStoreHasLostTheRecord {

    private final Instant later = START.plus(ZoneStates.LOST_RECORD_PERIOD);

    @Test
    void stayEvacuatedUntilTheRecordIsWrittenAgain() {
      states.apply(evacuated(1, 5), START);
      states.applyNewest(List.of(), 2, 3, START);

      assertThat(states.expireLost(later.minusMillis(1)), is(false));
      states.apply(evacuated(2, 4), START);

      assertThat(states.expireLost(later), is(false));
      assertThat(states.all(), is(List.of(evacuated(2, 4))));
    }

    @Test
    void areInServiceAfterSomeTimeWithoutRecord() {
      states.apply(evacuated(1, 5), START);
      states.applyNewest(List.of(), 2, 3, START);
      states.applyNewest(List.of(), 2, 6, START.plus(Duration.ofSeconds(9)));

      assertThat(states.expireLost(later), is(true));
      assertThat(states.all(), is(List.of(inService(2, 6))));
    }

    @Test
    void areTakenOverByRestartedNodeInTheMeantime() {
      states.applyNewest(List.of(), 2, 3, START);

      assertThat(states.apply(evacuated(1, 5), later.minusMillis(1)), is(true));
      assertThat(states.evacuated(), is(Set.of("izmir")));

      assertThat(states.expireLost(later), is(true));
      assertThat(states.apply(evacuated(1, 5), later), is(false));
      assertThat(states.evacuated(), empty());
    }
  }
}
