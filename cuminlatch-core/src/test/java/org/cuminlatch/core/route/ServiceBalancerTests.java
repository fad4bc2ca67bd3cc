package org.cuminlatch.core.route;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.route.ServiceBalancer.Context;
import org.cuminlatch.core.route.TargetLoads.AttemptEnd;
import org.cuminlatch.core.route.VersionRule.Fallback;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("The balancer of a service's calls")
class ServiceBalancerTests {

  private static final int CALLS = 2000;
  private static final Locality OWN_ZONE = new Locality("ege", "izmir");
  private static final Locality NEIGHBOR_ZONE = new Locality("ege", "aydin");
  private static final Locality OTHER_REGION = new Locality("marmara", "bursa");

  private final Instant now = Instant.EPOCH;
  private final TargetLoads loads = new TargetLoads(LoadPolicy.FAILURE_WEIGHTED);
  private final ServiceBalancer balancer =
      new ServiceBalancer(loads, new LinkBudget(1_000_000, now));
  private final SplittableRandom random = new SplittableRandom(5);
  private final List<Member> members = new ArrayList<>();
  private HomeRegions homes = HomeRegions.ANY;

  private void addMember(String instance, String version, long incarnation, Locality locality) {
    Address address = new Address("10.0.0." + (members.size() + 1), 7000);
    members.add(
        new Member(
            instance,
            incarnation,
            Member.Status.ALIVE,
            address,
            address,
            locality,
            "orders",
            version,
            6,
            Member.Phase.SERVING,
            Set.of(),
            0,
            ""));
  }

  private Optional<String> choose(
      Optional<VersionRule> rule, boolean preferNearest, String... triedInstances) {
    Context context = new Context(OWN_ZONE, Set.of(triedInstances), preferNearest, homes, now);
    return balancer
        .chooseTarget(ServiceIndex.of(members), "orders", rule, context, random)
        .map(choice -> choice.member().instance());
  }

  private List<String> chooseMany(Optional<VersionRule> rule) {
    List<String> chosen = new ArrayList<>();
    for (int i = 0; i < CALLS; i++) {
      chosen.add(choose(rule, false).orElse("none"));
    }
    return chosen;
  }

  private static double share(List<String> chosen, String prefix) {
    return (double) chosen.stream().filter(name -> name.startsWith(prefix)).count() / CALLS;
  }

  @Nested
  class WhenNoMoveIsKnown {

    @Test
    void staysInZoneWhileItHasFreeSlots() {
      addMember("home-1", "v1", 1, OWN_ZONE);
      addMember("next-1", "v1", 1, NEIGHBOR_ZONE);

      assertThat(chooseMany(Optional.empty()), everyItem(is("home-1")));
    }

    @Test
    void sendsNoCallsToNewVersion() {
      addMember("old-1", "v1", 1, OWN_ZONE);
      addMember("old-2", "v1", 9, NEIGHBOR_ZONE);
      addMember("new-1", "v2", 5, OWN_ZONE);

      assertThat(chooseMany(Optional.empty()), everyItem(startsWith("old")));
    }
  }

  @Nested
  class DuringMove {

    private void addBothVersions() {
      for (int i = 1; i <= 9; i++) {
        addMember("old-" + i, "v1", 1, OWN_ZONE);
        addMember("new-" + i, "v2", 2, OWN_ZONE);
      }
    }

    @Test
    void distributesCallsByShare() {
      addBothVersions();

      List<String> chosen =
          chooseMany(Optional.of(new VersionRule("v2", 0.3, Fallback.OTHER_VERSIONS)));

      assertThat(share(chosen, "new"), closeTo(0.3, 0.04));
    }

    @Test
    void usesOnlyAsManyNewTargetsAsTheShareLoadsFully() {
      addBothVersions();

      List<String> chosen =
          chooseMany(Optional.of(new VersionRule("v2", 0.1, Fallback.OTHER_VERSIONS)));

      long used = chosen.stream().filter(name -> name.startsWith("new")).distinct().count();
      assertThat(used, is(1L));
    }

    @Test
    void sendsNoCallsToVersionThatWasRolledBack() {
      addBothVersions();
      Optional<VersionRule> rule = Optional.of(new VersionRule("v2", 0, Fallback.NONE));

      assertThat(chooseMany(rule), everyItem(startsWith("old")));
      members.removeIf(member -> member.targetVersion().equals("v1"));
      assertThat(choose(rule, false), is(Optional.empty()));
    }
  }

  /**
   * Large answers are costly to transfer and stay in a loaded zone although another zone is free.
   * Once the zone has refused a call, the call goes to the next zone before it fails.
   */
  @Nested
  class WithLargeAnswers {

    @Test
    void staysAtNearestLocalityUntilItRefuses() {
      addMember("home-1", "v1", 1, OWN_ZONE);
      addMember("next-1", "v1", 1, NEIGHBOR_ZONE);
      for (int i = 0; i < 11; i++) {
        loads.begin("home-1", now);
      }

      assertThat(choose(Optional.empty(), true), is(Optional.of("home-1")));
      assertThat(choose(Optional.empty(), false), is(Optional.of("next-1")));
    }

    @Test
    void choosesNextNearestLocalityAfterZoneRefused() {
      addMember("home-1", "v1", 1, OWN_ZONE);
      addMember("next-1", "v1", 1, NEIGHBOR_ZONE);
      addMember("far-1", "v1", 1, OTHER_REGION);

      assertThat(choose(Optional.empty(), true, "home-1"), is(Optional.of("next-1")));
      assertThat(choose(Optional.empty(), true, "home-1", "next-1"), is(Optional.empty()));
      assertThat(choose(Optional.empty(), false, "home-1", "next-1"), is(Optional.of("far-1")));
    }

    @Test
    void leavesZoneWhenNodeOfItsOnlyTargetLags() {
      addMember("home-1", "v1", 1, OWN_ZONE);
      addMember("next-1", "v1", 1, NEIGHBOR_ZONE);
      loads.recordReport("home-1", new ReportedLoad(6, 0, 6, Duration.ofMillis(400)), now);

      assertThat(choose(Optional.empty(), true), is(Optional.of("next-1")));
    }

    @Test
    void choosesNextNearestLocalityWhenZoneHasNoTarget() {
      addMember("next-1", "v1", 1, NEIGHBOR_ZONE);
      addMember("far-1", "v1", 1, OTHER_REGION);

      assertThat(choose(Optional.empty(), true), is(Optional.of("next-1")));
    }
  }

  /** Guards against bodies that are sent to a region in which the call must not run. */
  @Nested
  class OfCallsThatMayRunInOneRegionOnly {

    @BeforeEach
    void restrictToOtherRegion() {
      homes = new HomeRegions(Optional.of(Set.of(OTHER_REGION.region())));
      addMember("home-1", "v1", 1, OWN_ZONE);
      addMember("next-1", "v1", 1, NEIGHBOR_ZONE);
    }

    @Test
    void choosesNoTargetElsewhereAlsoAfterRefusals() {
      addMember("far-1", "v1", 1, OTHER_REGION);

      assertThat(choose(Optional.empty(), false), is(Optional.of("far-1")));
      assertThat(choose(Optional.empty(), true), is(Optional.of("far-1")));
      assertThat(choose(Optional.empty(), false, "far-1"), is(Optional.empty()));
    }

    @Test
    void choosesNoTargetElsewhereForEitherVersionOfMove() {
      addMember("new-1", "v2", 2, OWN_ZONE);
      Optional<VersionRule> rule = Optional.of(new VersionRule("v2", 0.5, Fallback.OTHER_VERSIONS));

      assertThat(chooseMany(rule), everyItem(is("none")));
    }

    /** A version without a move gets no calls, even if its targets are the only ones at home. */
    @Test
    void choosesNoTargetOfNewVersionWhenNoMoveIsKnown() {
      addMember("far-1", "v2", 2, OTHER_REGION);

      assertThat(choose(Optional.empty(), false), is(Optional.empty()));
    }
  }

  /** The own region has lost targets and the rest have a queue; the other region has free slots. */
  @Nested
  class WhenRegionIsShortOfTargets {

    private void loadOwnRegion() {
      addMember("home-1", "v1", 1, OWN_ZONE);
      addMember("home-2", "v1", 1, OWN_ZONE);
      addMember("next-1", "v1", 1, NEIGHBOR_ZONE);
      addMember("far-1", "v1", 1, OTHER_REGION);
      for (String instance : List.of("home-1", "home-2", "next-1")) {
        for (int i = 0; i < 8; i++) {
          loads.begin(instance, now);
        }
      }
    }

    @Test
    void staysInRegionOnFirstTry() {
      loadOwnRegion();

      assertThat(chooseMany(Optional.empty()), everyItem(not(startsWith("far"))));
    }

    @Test
    void choosesFreeSlotInOtherRegionAfterRefusal() {
      loadOwnRegion();

      assertThat(choose(Optional.empty(), false, "home-1"), is(Optional.of("far-1")));
    }

    @Test
    void choosesShorterQueueInOtherRegionAfterRefusal() {
      loadOwnRegion();
      for (int i = 0; i < 6; i++) {
        loads.begin("far-1", now);
      }

      assertThat(choose(Optional.empty(), false).get(), not(startsWith("far")));
      assertThat(choose(Optional.empty(), false, "home-1"), is(Optional.of("far-1")));
    }

    @Test
    void countsAsFullAfterTwoRefusals() {
      loadOwnRegion();
      for (int i = 0; i < 8; i++) {
        loads.begin("far-1", now);
      }

      assertThat(choose(Optional.empty(), false, "home-1", "home-2"), is(Optional.of("far-1")));
    }

    @Test
    void staysInRegionWhenOtherRegionIsFullToo() {
      loadOwnRegion();
      for (int i = 0; i < 8; i++) {
        loads.begin("far-1", now);
      }

      assertThat(choose(Optional.empty(), false, "home-1").get(), not(startsWith("far")));
    }
  }

  /**
   * One of two targets is worse than the other, for example five times as slow. A random choice
   * would send it half of the calls.
   */
  @Nested
  class WithUnequalTargets {

    @Test
    void sendsFewerCallsToSlowTarget() {
      addMember("fast-1", "v1", 1, OWN_ZONE);
      addMember("slow-1", "v1", 1, OWN_ZONE);
      for (int i = 0; i < 50; i++) {
        recordAnswer("fast-1", Duration.ofMillis(60));
        recordAnswer("slow-1", Duration.ofMillis(300));
      }

      assertThat(share(chooseMany(Optional.empty()), "slow"), lessThan(0.25));
    }

    /** The latency of a fast target with a queue may be that of a slow one without. */
    @Test
    void sendsFewerCallsToTargetWithLongServiceTime() {
      addMember("fast-1", "v1", 1, OWN_ZONE);
      addMember("slow-1", "v1", 1, OWN_ZONE);
      loads.recordReport("fast-1", reportWithServiceTime(Duration.ofMillis(100)), now);
      loads.recordReport("slow-1", reportWithServiceTime(Duration.ofMillis(250)), now);
      recordAnswer("fast-1", Duration.ofMillis(300));
      recordAnswer("slow-1", Duration.ofMillis(250));

      assertThat(share(chooseMany(Optional.empty()), "fast"), is(1.0));
    }

    @Test
    void choosesSlowTargetWhenQueueOfFastOneTakesLonger() {
      addMember("fast-1", "v1", 1, OWN_ZONE);
      addMember("slow-1", "v1", 1, OWN_ZONE);
      loads.recordReport(
          "fast-1", new ReportedLoad(6, 12, 6, Duration.ZERO, Duration.ofMillis(100)), now);
      loads.recordReport("slow-1", reportWithServiceTime(Duration.ofMillis(250)), now);

      assertThat(share(chooseMany(Optional.empty()), "slow"), is(1.0));
    }

    private ReportedLoad reportWithServiceTime(Duration serviceTime) {
      return new ReportedLoad(3, 0, 6, Duration.ZERO, serviceTime);
    }

    @Test
    void sendsFewerCallsToTargetWhoseNodeLags() {
      addMember("prompt-1", "v1", 1, OWN_ZONE);
      addMember("late-1", "v1", 1, OWN_ZONE);
      for (int i = 0; i < 50; i++) {
        recordAnswer("prompt-1", Duration.ofMillis(60));
        recordAnswer("late-1", Duration.ofMillis(60));
      }
      loads.recordReport("late-1", new ReportedLoad(0, 0, 6, Duration.ofMillis(300)), now);

      assertThat(share(chooseMany(Optional.empty()), "late"), lessThan(0.25));
    }

    @Test
    void staysInZoneWhenAllNodesLag() {
      addMember("home-1", "v1", 1, OWN_ZONE);
      addMember("next-1", "v1", 1, NEIGHBOR_ZONE);
      addMember("far-1", "v1", 1, OTHER_REGION);
      for (String instance : List.of("home-1", "next-1", "far-1")) {
        loads.recordReport(instance, new ReportedLoad(3, 0, 6, Duration.ofMillis(900)), now);
      }

      assertThat(chooseMany(Optional.empty()), everyItem(is("home-1")));
    }

    @Test
    void sendsFewerCallsToFailingTarget() {
      addMember("sound-1", "v1", 1, OWN_ZONE);
      addMember("grey-1", "v1", 1, OWN_ZONE);
      for (int i = 0; i < 50; i++) {
        recordAnswer("sound-1", Duration.ofMillis(60));
        recordAnswer("grey-1", Duration.ofMillis(60));
        loads.begin("grey-1", now);
        loads.end("grey-1", AttemptEnd.FAILED, Duration.ofMillis(60), now);
      }

      assertThat(share(chooseMany(Optional.empty()), "grey"), lessThan(0.25));
    }

    @Test
    void leavesZoneWhenItsOnlyTargetFails() {
      addMember("grey-1", "v1", 1, OWN_ZONE);
      addMember("sound-1", "v1", 1, NEIGHBOR_ZONE);
      for (int i = 0; i < 50; i++) {
        recordAnswer("sound-1", Duration.ofMillis(60));
        recordAnswer("grey-1", Duration.ofMillis(60));
        loads.begin("grey-1", now);
        loads.end("grey-1", AttemptEnd.FAILED, Duration.ofMillis(60), now);
      }

      assertThat(share(chooseMany(Optional.empty()), "grey"), lessThan(0.75));
    }

    private void recordAnswer(String instance, Duration latency) {
      loads.begin(instance, now);
      loads.end(instance, AttemptEnd.SERVED, latency, now);
    }
  }
}
