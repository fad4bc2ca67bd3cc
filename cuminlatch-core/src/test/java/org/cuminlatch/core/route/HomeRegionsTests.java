package org.cuminlatch.core.route;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.cuminlatch.core.config.CallLimits;
import org.cuminlatch.core.config.CallerLimits;
import org.cuminlatch.core.config.ClientAccount;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.RoutePolicy;
import org.cuminlatch.core.config.Snapshot;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The home regions of a call")
class HomeRegionsTests {

  private static Route route(Set<String> homes) {
    RoutePolicy policy =
        new RoutePolicy(
            RoutePolicy.Repeatability.ONCE, Duration.ofSeconds(1), 0, List.of(), false, homes);
    CallLimits limits = new CallLimits(Duration.ofSeconds(1), 1, 1, Set.of(), "x-idempotent");
    return new Route(
        "r", Optional.empty(), "/", Map.of(), "orders", limits, Optional.empty(), policy);
  }

  private static ClientAccount account(Set<String> homes) {
    return new ClientAccount("museum", Set.of(), OptionalInt.empty(), Optional.empty(), homes);
  }

  /** Returns the home regions of a call whose route and account named others when it arrived. */
  private static HomeRegions homesOf(Set<String> ofRoute, Set<String> ofAccount) {
    Snapshot current =
        new Snapshot(
            2,
            "",
            Map.of("r", route(ofRoute)),
            Map.of(),
            Map.of(),
            Map.of(),
            CallerLimits.DEFAULT,
            Map.of("museum", account(ofAccount)));
    return RouteTable.of(current)
        .homeRegions(route(Set.of("ege")), Optional.of(account(Set.of("ege"))));
  }

  private static HomeRegions only(String... regions) {
    return new HomeRegions(Optional.of(Set.of(regions)));
  }

  @Test
  void areThoseOfTheConfigurationInForce() {
    assertThat(homesOf(Set.of(), Set.of()), is(HomeRegions.ANY));
    assertThat(homesOf(Set.of("marmara"), Set.of()), is(only("marmara")));
    assertThat(homesOf(Set.of(), Set.of("marmara")), is(only("marmara")));
  }

  @Test
  void areThoseOfBothListsIfRouteAndAccountNameSome() {
    assertThat(
        homesOf(Set.of("ege", "marmara"), Set.of("marmara", "akdeniz")), is(only("marmara")));
    assertThat(homesOf(Set.of("ege"), Set.of("marmara")), is(only()));
  }

  @Test
  void remainThoseOfTheRouteThatHasBeenRemoved() {
    HomeRegions homes =
        RouteTable.of(Snapshot.empty()).homeRegions(route(Set.of("ege")), Optional.empty());

    assertThat(homes, is(only("ege")));
  }
}
