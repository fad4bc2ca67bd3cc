package org.cuminlatch.wire.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.aMapWithSize;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasKey;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import java.util.OptionalLong;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.RefusalReason;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.TargetVersion;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("The fold")
class FoldTests {

  private static final Optional<RefusalReason> ACCEPTED = Optional.empty();

  private ReplicaFixture fixture;

  @BeforeEach
  void createService() {
    fixture = ReplicaFixture.create();
    fixture.publish(new TargetVersion("siparis", "v1"));
  }

  @Test
  void acceptsRouteToKnownService() {
    assertThat(fixture.publish(Route.of("orders", "/orders", "siparis")), is(ACCEPTED));
    assertThat(fixture.snapshot().routes(), hasKey("orders"));
    assertThat(fixture.snapshot().version(), is(2L));
  }

  @Test
  void refusesRouteToUnknownService() {
    assertThat(
        fixture.publish(Route.of("orders", "/orders", "saha")),
        is(Optional.of(RefusalReason.UNRESOLVED_REFERENCE)));
    assertThat(fixture.snapshot().routes(), aMapWithSize(0));
  }

  @Nested
  class WithExpectedVersion {

    @Test
    void letsTheFirstOfTwoRacingOperatorsWin() {
      OptionalLong absent = OptionalLong.of(0);
      assertThat(fixture.publish(Route.of("orders", "/a", "siparis"), absent), is(ACCEPTED));
      assertThat(
          fixture.publish(Route.of("orders", "/b", "siparis"), absent),
          is(Optional.of(RefusalReason.EXPECTED_VERSION_MISMATCH)));
      assertThat(fixture.snapshot().routes().get("orders").pathPrefix(), equalTo("/a"));
    }
  }

  @Test
  void refusesBytesThatAreNoRecord() {
    assertThat(
        fixture.append(Bytes.copyOf(new byte[] {1, 2, 3})),
        is(Optional.of(RefusalReason.MALFORMED)));
  }
}
