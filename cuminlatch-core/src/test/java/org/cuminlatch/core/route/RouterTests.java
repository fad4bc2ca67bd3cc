package org.cuminlatch.core.route;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.cuminlatch.core.config.CallLimits;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.ServiceState;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.move.VersionShares.VersionShare;
import org.cuminlatch.core.route.RoutingDecision.Reason;
import org.cuminlatch.core.route.TargetLoads.AttemptEnd;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@DisplayName("The router")
class RouterTests {

  private static final String SERVICE = "siparis";
  private static final Locality IZMIR = new Locality("ege", "izmir");
  private static final Locality AYDIN = new Locality("ege", "aydin");
  private static final Locality BURSA = new Locality("marmara", "bursa");
  private static final long LINK_BYTES_PER_SECOND = 1000;

  private final Instant now = Instant.EPOCH.plusSeconds(1000);
  private final Random random = new Random(7);
  private final TargetLoads loads = new TargetLoads();
  private final LinkBudget link = new LinkBudget(LINK_BYTES_PER_SECOND, now);
  private final List<Member> members = new ArrayList<>();
  private List<VersionShare> shares = List.of(new VersionShare("v1", 1));
  private Map<String, Route> routes = Map.of("all", Route.of("all", "/", SERVICE));

  private Member addMember(String instance, Locality locality, String version) {
    Address address = new Address("10.0.0.1", 1 + members.size());
    Member member =
        new Member(
            instance,
            1,
            Member.Status.ALIVE,
            address,
            address,
            locality,
            SERVICE,
            version,
            4,
            Member.Phase.SERVING,
            Set.of(1),
            1,
            "");
    members.add(member);
    return member;
  }

  private RoutingDecision decide(RequestHead request, Set<String> triedInstances, Instant time) {
    ServiceState state = new ServiceState(SERVICE, Set.of("v1", "v2"), "v1");
    Snapshot snapshot = new Snapshot(17, "", routes, Map.of(SERVICE, state), Map.of());
    Router router = new Router((config, route) -> shares, loads, link);
    Router.Context context =
        new Router.Context(ServiceIndex.of(members), IZMIR, triedInstances, time);
    return router.decide(RouteTable.of(snapshot), request, context, random);
  }

  private RoutingDecision decide() {
    return decide(get("/"), Set.of(), now);
  }

  private static RequestHead get(String path) {
    return new RequestHead("GET", "yagmur.example", path, Map.of());
  }

  private String chosenInstance() {
    return decide().target().map(Member::instance).orElse("none");
  }

  private Map<String, Integer> countChoices(int calls) {
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < calls; i++) {
      counts.merge(chosenInstance(), 1, Integer::sum);
    }
    return counts;
  }

  private void reportLoad(String instance, int busy, int queued) {
    loads.recordReport(instance, new ReportedLoad(busy, queued, 4), now);
  }

  @Nested
  class WhenMatchingRoutes {

    @ParameterizedTest(name = "{0} {1} {2} uses route {3}")
    @CsvSource({
      "yagmur.example, /orders/7, '', orders",
      "yagmur.example, /orders, '', orders",
      "yagmur.example, /ordersx, '', all",
      "yagmur.example, /orders/urgent, '', urgent",
      "yagmur.example, /orders/7, beta, orders-beta",
      "other.example, /orders/7, '', other",
      "OTHER.example, /x, '', other",
    })
    void choosesMostSpecificRoute(String host, String path, String header, String expected) {
      routes =
          Map.of(
              "all", Route.of("all", "/", SERVICE),
              "orders", Route.of("orders", "/orders", SERVICE),
              "urgent", Route.of("urgent", "/orders/urgent", SERVICE),
              "orders-beta", route("orders-beta", Optional.empty(), Map.of("X-Beta", "beta")),
              "other",
                  new Route(
                      "other",
                      Optional.of("other.example"),
                      "/",
                      Map.of(),
                      SERVICE,
                      CallLimits.defaults(),
                      Optional.empty()));
      Map<String, String> headers = header.isEmpty() ? Map.of() : Map.of("x-beta", header);

      RoutingDecision decision = decide(new RequestHead("GET", host, path, headers), Set.of(), now);

      assertThat(decision.route().get().name(), is(expected));
      assertThat(decision.configVersion(), is(17L));
    }

    private Route route(String name, Optional<String> host, Map<String, String> headers) {
      return new Route(
          name, host, "/orders", headers, SERVICE, CallLimits.defaults(), Optional.empty());
    }

    @Test
    void reportsNoRouteWhenNoneMatches() {
      routes = Map.of("orders", Route.of("orders", "/orders", SERVICE));

      assertThat(decide().reason(), is(Reason.NO_ROUTE));
    }
  }

  @Nested
  class WhenChoosingVersion {

    @Test
    void distributesCallsByShare() {
      addMember("old", IZMIR, "v1");
      addMember("new", IZMIR, "v2");
      shares = List.of(new VersionShare("v1", 0.9), new VersionShare("v2", 0.1));

      assertThat(countChoices(10_000).get("new") / 10_000.0, closeTo(0.1, 0.02));
    }

    @Test
    void doesNotChooseVersionWithZeroShare() {
      addMember("bad", IZMIR, "v2");
      shares = List.of(new VersionShare("v1", 1), new VersionShare("v2", 0));

      assertThat(decide().reason(), is(Reason.NO_MEMBER));
    }

    @Test
    void keepsStickyCallersOnNewVersionWhileItsShareRises() {
      addMember("old", IZMIR, "v1");
      addMember("new", IZMIR, "v2");
      routes =
          Map.of(
              "all",
              new Route(
                  "all",
                  Optional.empty(),
                  "/",
                  Map.of(),
                  SERVICE,
                  CallLimits.defaults(),
                  Optional.of("X-Customer")));
      List<String> onNewVersion = new ArrayList<>();
      int previousCount = 0;
      for (double share : new double[] {0.05, 0.25, 0.5, 1}) {
        shares = List.of(new VersionShare("v1", 1 - share), new VersionShare("v2", share));
        for (String customer : onNewVersion) {
          assertThat(versionOf(customer), is("v2"));
        }
        onNewVersion.clear();
        for (int i = 0; i < 1000; i++) {
          if (versionOf("customer-" + i).equals("v2")) {
            onNewVersion.add("customer-" + i);
          }
        }
        assertThat(onNewVersion.size() / 1000.0, closeTo(share, 0.05));
        assertThat(onNewVersion.size(), greaterThan(previousCount));
        previousCount = onNewVersion.size();
      }
    }

    private String versionOf(String customer) {
      RequestHead request = new RequestHead("GET", "", "/", Map.of("x-customer", customer));
      return decide(request, Set.of(), now).version().get();
    }
  }

  @Nested
  class WhenChoosingLocality {

    @Test
    void staysInZoneWhileItHasFreeSlots() {
      addMember("near", IZMIR, "v1");
      addMember("next", AYDIN, "v1");
      addMember("far", BURSA, "v1");
      reportLoad("near", 3, 0);

      assertThat(countChoices(50), is(Map.of("near", 50)));
      assertThat(decide().reason(), is(Reason.SAME_ZONE));
    }

    @Test
    void leavesFullZoneForAnotherZoneOfTheRegion() {
      addMember("near", IZMIR, "v1");
      addMember("next", AYDIN, "v1");
      addMember("far", BURSA, "v1");
      reportLoad("near", 4, 2);

      assertThat(countChoices(50).getOrDefault("far", 0), is(0));
      assertThat(countChoices(50).get("next"), is(50));
    }

    @Test
    void choosesOtherRegionWhenOwnRegionIsOverloaded() {
      addMember("near", IZMIR, "v1");
      addMember("far", BURSA, "v1");
      reportLoad("near", 4, 4);

      assertThat(decide().reason(), is(Reason.OTHER_REGION));
    }

    @Test
    void refusesOtherRegionUntilLinkBudgetIsRefilled() {
      addMember("far", BURSA, "v1");
      link.spend(LINK_BYTES_PER_SECOND * 60, now);

      assertThat(decide().reason(), is(Reason.LINK_BUDGET_SPENT));
      assertThat(decide(get("/"), Set.of(), now.plusSeconds(60)).reason(), is(Reason.OTHER_REGION));
    }

    @Test
    void avoidsInstanceThatWasTried() {
      addMember("one", IZMIR, "v1");
      addMember("two", IZMIR, "v1");

      RoutingDecision decision = decide(get("/"), Set.of("one"), now);

      assertThat(decision.target().get().instance(), is("two"));
    }
  }

  @Nested
  class WhenChoosingTarget {

    @Test
    void prefersLessLoadedOfTwo() {
      addMember("busy", IZMIR, "v1");
      addMember("idle", IZMIR, "v1");
      reportLoad("busy", 3, 0);
      reportLoad("idle", 0, 0);

      assertThat(chosenInstance(), is("idle"));
    }

    @Test
    void avoidsSlowTarget() {
      for (String instance : List.of("slow", "one", "two", "three")) {
        addMember(instance, IZMIR, "v1");
        Duration latency = Duration.ofMillis(instance.equals("slow") ? 500 : 50);
        loads.begin(instance, now);
        loads.end(instance, AttemptEnd.SERVED, latency, now);
      }

      assertThat(countChoices(1000).getOrDefault("slow", 0), is(0));
    }

    @Test
    void prefersKnownTargetsDuringSlowStart() {
      Instant longAgo = now.minusSeconds(100);
      for (String instance : List.of("one", "two", "three")) {
        addMember(instance, IZMIR, "v1");
        loads.recordReport(instance, new ReportedLoad(0, 0, 4), longAgo);
      }
      addMember("cold", IZMIR, "v1");
      loads.recordReport("cold", new ReportedLoad(0, 0, 4), now);

      assertThat(countChoices(1000).getOrDefault("cold", 0), is(0));
      reportLoad("one", 2, 0);
      reportLoad("two", 2, 0);
      reportLoad("three", 2, 0);
      assertThat(countChoices(1000).getOrDefault("cold", 0), is(0));
    }
  }

  @Nested
  class WhenTargetsFail {

    private void fail(String instance, int times) {
      for (int i = 0; i < times; i++) {
        loads.begin(instance, now);
        loads.end(instance, AttemptEnd.FAILED, Duration.ofMillis(1), now);
      }
    }

    @Test
    void ejectsTargetAfterConsecutiveFailures() {
      for (String instance : List.of("bad", "one", "two")) {
        addMember(instance, IZMIR, "v1");
      }
      fail("bad", 4);
      assertThat(countChoices(300).get("bad"), greaterThan(0));
      fail("bad", 1);
      assertThat(countChoices(300).getOrDefault("bad", 0), is(0));
    }

    @Test
    void readmitsTargetAfterEjection() {
      for (String instance : List.of("bad", "one", "two")) {
        addMember(instance, IZMIR, "v1");
      }
      fail("bad", 5);
      Set<String> chosenInstances = new java.util.HashSet<>();
      for (int i = 0; i < 100; i++) {
        chosenInstances.add(
            decide(get("/"), Set.of(), now.plus(TargetLoad.INITIAL_EJECTION_TIME))
                .target()
                .get()
                .instance());
      }

      assertThat(chosenInstances.contains("bad"), is(true));
    }

    @Test
    void neverEjectsMoreThanMaxShare() {
      for (int i = 0; i < 9; i++) {
        addMember("target-" + i, IZMIR, "v1");
        fail("target-" + i, 10);
      }

      Map<String, Integer> counts = countChoices(2000);

      assertThat(counts.size(), is(6));
      assertThat(counts.size(), not(lessThan((int) (9 * (1 - OutlierEjection.MAX_EJECTED_SHARE)))));
    }
  }
}
