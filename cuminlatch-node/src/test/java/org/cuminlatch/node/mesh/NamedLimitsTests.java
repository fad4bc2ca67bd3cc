package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.OptionalDouble;
import java.util.Set;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Member;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The limits that an entry node knows")
class NamedLimitsTests {

  private static final OptionalDouble NONE = OptionalDouble.empty();
  private static final OptionalDouble LIMIT = OptionalDouble.of(3);

  private final NamedLimits limits = new NamedLimits();
  private final Instant start = Instant.EPOCH;

  private static Member target(long incarnation) {
    Address address = new Address("10.0.0.1", 7000);
    return new Member(
        "i-1",
        incarnation,
        Member.Status.ALIVE,
        address,
        address,
        new Locality("leinster", "leinster-a"),
        "bookings",
        "v1",
        6,
        Member.Phase.SERVING,
        Set.of(),
        0,
        "");
  }

  @Test
  void holdUntilLaterAttemptIsAnsweredWithout() {
    limits.onAnswer(target(1), LIMIT, start, start.plusSeconds(1));
    limits.onAnswer(target(1), NONE, start, start.plusSeconds(2));
    assertThat(limits.of(target(1)), is(LIMIT));

    limits.onAnswer(target(1), NONE, start.plusSeconds(2), start.plusSeconds(3));

    assertThat(limits.of(target(1)), is(NONE));
  }

  @Test
  void areThoseOfOneStartOfTheTarget() {
    limits.onAnswer(target(1), LIMIT, start, start);

    assertThat(limits.of(target(2)), is(NONE));
  }
}
