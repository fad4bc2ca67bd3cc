package org.cuminlatch.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("The admission of a node that stops")
class StopAdmissionTests {

  private static final Instant ANNOUNCED = Instant.EPOCH;
  private static final Instant END = ANNOUNCED.plus(Duration.ofMillis(5100));

  private final StopAdmission admission = new StopAdmission(ANNOUNCED, END);

  private static Instant at(long millis) {
    return ANNOUNCED.plusMillis(millis);
  }

  @Nested
  class ForCalls {

    @Test
    void acceptsAllUntilCallersHaveSeenTheStop() {
      assertThat(admission.admitsCall(at(7000), at(0)), is(true));
      assertThat(admission.admitsCall(at(7000), at(2999)), is(true));
    }

    @Test
    void refusesLateInThePeriodWhatMayOutlastIt() {
      assertThat(admission.admitsCall(at(5101), at(3000)), is(false));
    }

    @Test
    void acceptsLateInThePeriodWhatEndsBeforeIt() {
      assertThat(admission.admitsCall(at(5100), at(4000)), is(true));
    }
  }

  @Nested
  class ForAttemptsOfOtherNodes {

    @Test
    void refusesAtOnceWhatMayOutlastThePeriod() {
      assertThat(admission.admitsAttempt(at(5101)), is(false));
    }

    @Test
    void acceptsWhatEndsBeforeThePeriod() {
      assertThat(admission.admitsAttempt(at(5100)), is(true));
    }
  }
}
