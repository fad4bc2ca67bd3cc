package org.cuminlatch.core.move;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.config.MoveState;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.ServiceState;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.move.VersionShares.VersionShare;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Published shares")
class PublishedSharesTests {

  private static final Route ORDERS = Route.of("orders", "/orders", "siparis");
  private static final Route QUOTES = Route.of("quotes", "/quotes", "siparis");
  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");

  @Test
  void keepRouteOnNewVersionDuringMoveOfItsService() {
    Move move =
        new Move(
            "m",
            "siparis",
            Optional.empty(),
            "v1",
            "v2",
            START,
            START.plusSeconds(600),
            List.of(),
            Duration.ZERO,
            false);
    Snapshot snapshot =
        new Snapshot(
            7,
            "h",
            Map.of("orders", ORDERS, "quotes", QUOTES),
            Map.of(
                "siparis",
                new ServiceState("siparis", Set.of("v1", "v2"), "v1", Map.of("orders", "v2"))),
            Map.of("m", new MoveState(move, 7, Optional.empty(), Optional.empty())));
    PublishedShares shares = new PublishedShares(snapshot, Map.of(MoveId.of(move), 0.25));
    assertThat(shares.sharesOf(snapshot, ORDERS), contains(new VersionShare("v2", 1)));
    assertThat(
        shares.sharesOf(snapshot, QUOTES),
        contains(new VersionShare("v1", 0.75), new VersionShare("v2", 0.25)));
  }
}
