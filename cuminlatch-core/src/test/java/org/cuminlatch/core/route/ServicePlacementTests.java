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
import org.cuminlatch.core.route.ServicePlacement.Context;
import org.cuminlatch.core.route.TargetLoads.AttemptEnd;
import org.cuminlatch.core.route.VersionRule.Fallback;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A placement of a service's calls")
class ServicePlacementTests {

  private static final int CALLS = 2000;
  private static final Locality HOME = new Locality("ege", "izmir");
  private static final Locality NEXT = new Locality("ege", "aydin");
  private static final Locality FAR = new Locality("marmara", "bursa");

  private final Instant now = Instant.EPOCH;
  private final TargetLoads loads = new TargetLoads(LoadPolicy.GRADED);
  private final ServicePlacement placement =
      new ServicePlacement(loads, new LinkBudget(1_000_000, now));
  private final SplittableRandom random = new SplittableRandom(5);
  private final List<Member> members = new ArrayList<>();

  private void member(String instance, String version, long born, Locality locality) {
    Address address = new Address("10.0.0." + (members.size() + 1), 7000);
    members.add(
        new Member(
            instance,
            born,
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

  private Optional<String> place(Optional<VersionRule> rule, boolean nearest, String... avoided) {
    Context context = new Context(HOME, Set.of(avoided), nearest, now);
    return placement
        .place(ServiceIndex.of(members), "orders", rule, context, random)
        .map(placed -> placed.member().instance());
  }

  private List<String> placeMany(Optional<VersionRule> rule) {
    List<String> chosen = new ArrayList<>();
    for (int i = 0; i < CALLS; i++) {
      chosen.add(place(rule, false).orElse("none"));
    }
    return chosen;
  }

  private static double share(List<String> chosen, String prefix) {
    return (double) chosen.stream().filter(name -> name.startsWith(prefix)).count() / CALLS;
  }

  @Nested
  class WithoutMove {

    @Test
    void staysInTheZoneWhileItHasRoom() {
      member("home-1", "v1", 1, HOME);
      member("next-1", "v1", 1, NEXT);

      assertThat(placeMany(Optional.empty()), everyItem(is("home-1")));
    }

    @Test
    void givesNothingToVersionThatAppearsUnordered() {
      member("old-1", "v1", 1, HOME);
      member("old-2", "v1", 9, NEXT);
      member("new-1", "v2", 5, HOME);

      assertThat(placeMany(Optional.empty()), everyItem(startsWith("old")));
    }
  }

  @Nested
  class DuringMove {

    private void startBothVersions() {
      for (int i = 1; i <= 9; i++) {
        member("old-" + i, "v1", 1, HOME);
        member("new-" + i, "v2", 2, HOME);
      }
    }

    @Test
    void dividesTheCallsByTheShare() {
      startBothVersions();

      List<String> chosen = placeMany(Optional.of(new VersionRule("v2", 0.3, Fallback.TO_OTHERS)));

      assertThat(share(chosen, "new"), closeTo(0.3, 0.04));
    }

    @Test
    void loadsFewNewTargetsAsUsual() {
      startBothVersions();

      List<String> chosen = placeMany(Optional.of(new VersionRule("v2", 0.1, Fallback.TO_OTHERS)));

      long used = chosen.stream().filter(name -> name.startsWith("new")).distinct().count();
      assertThat(used, is(1L));
    }

    @Test
    void givesNothingToVersionThatWasTakenBack() {
      startBothVersions();
      Optional<VersionRule> rule = Optional.of(new VersionRule("v2", 0, Fallback.NONE));

      assertThat(placeMany(rule), everyItem(startsWith("old")));
      members.removeIf(member -> member.targetVersion().equals("v1"));
      assertThat(place(rule, false), is(Optional.empty()));
    }
  }

  /**
   * Large answers are dear to carry: the load is one full zone beside an empty one. A caller is
   * sent on all the same before it is refused.
   */
  @Nested
  class OfLargeAnswers {

    @Test
    void stayAtTheNearestPlaceWhileItHasNotRefused() {
      member("home-1", "v1", 1, HOME);
      member("next-1", "v1", 1, NEXT);
      for (int i = 0; i < 11; i++) {
        loads.begin("home-1", now);
      }

      assertThat(place(Optional.empty(), true), is(Optional.of("home-1")));
      assertThat(place(Optional.empty(), false), is(Optional.of("next-1")));
    }

    @Test
    void goToTheNextNearestPlaceOnceTheZoneHasRefused() {
      member("home-1", "v1", 1, HOME);
      member("next-1", "v1", 1, NEXT);
      member("far-1", "v1", 1, FAR);

      assertThat(place(Optional.empty(), true, "home-1"), is(Optional.of("next-1")));
      assertThat(place(Optional.empty(), true, "home-1", "next-1"), is(Optional.empty()));
      assertThat(place(Optional.empty(), false, "home-1", "next-1"), is(Optional.of("far-1")));
    }

    @Test
    void leaveTheZoneWhereTheNodeBesideItsOnlyTargetIsBehind() {
      member("home-1", "v1", 1, HOME);
      member("next-1", "v1", 1, NEXT);
      loads.reported("home-1", new ReportedLoad(6, 0, 6, Duration.ofMillis(400)), now);

      assertThat(place(Optional.empty(), true), is(Optional.of("next-1")));
    }

    @Test
    void goToTheNextNearestPlaceWhereTheZoneHasNone() {
      member("next-1", "v1", 1, NEXT);
      member("far-1", "v1", 1, FAR);

      assertThat(place(Optional.empty(), true), is(Optional.of("next-1")));
    }
  }

  /** A region has lost targets: those left have a short queue, the other region has free slots. */
  @Nested
  class OfCallsInShortRegion {

    private void fillHomeRegion() {
      member("home-1", "v1", 1, HOME);
      member("home-2", "v1", 1, HOME);
      member("next-1", "v1", 1, NEXT);
      member("far-1", "v1", 1, FAR);
      for (String instance : List.of("home-1", "home-2", "next-1")) {
        for (int i = 0; i < 8; i++) {
          loads.begin(instance, now);
        }
      }
    }

    @Test
    void waitInTheRegionAtFirst() {
      fillHomeRegion();

      assertThat(placeMany(Optional.empty()), everyItem(not(startsWith("far"))));
    }

    @Test
    void goToTheFreeSlotOnceTheyWereSentBack() {
      fillHomeRegion();

      assertThat(place(Optional.empty(), false, "home-1"), is(Optional.of("far-1")));
    }

    @Test
    void stayWhereTheOtherRegionIsFullToo() {
      fillHomeRegion();
      for (int i = 0; i < 8; i++) {
        loads.begin("far-1", now);
      }

      assertThat(place(Optional.empty(), false, "home-1").get(), not(startsWith("far")));
    }
  }

  /** One target of two is five times as slow; random choice would give it half of the calls. */
  @Nested
  class AmongUnequalTargets {

    @Test
    void givesTheSlowOneLessThanRandomChoiceWould() {
      member("fast-1", "v1", 1, HOME);
      member("slow-1", "v1", 1, HOME);
      for (int i = 0; i < 50; i++) {
        answer("fast-1", Duration.ofMillis(60));
        answer("slow-1", Duration.ofMillis(300));
      }

      assertThat(share(placeMany(Optional.empty()), "slow"), lessThan(0.25));
    }

    @Test
    void givesTheOneWhoseNodeIsBehindLessThanRandomChoiceWould() {
      member("prompt-1", "v1", 1, HOME);
      member("late-1", "v1", 1, HOME);
      for (int i = 0; i < 50; i++) {
        answer("prompt-1", Duration.ofMillis(60));
        answer("late-1", Duration.ofMillis(60));
      }
      loads.reported("late-1", new ReportedLoad(0, 0, 6, Duration.ofMillis(300)), now);

      assertThat(share(placeMany(Optional.empty()), "late"), lessThan(0.25));
    }

    @Test
    void staysInTheZoneWhereAllNodesAreBehind() {
      member("home-1", "v1", 1, HOME);
      member("next-1", "v1", 1, NEXT);
      member("far-1", "v1", 1, FAR);
      for (String instance : List.of("home-1", "next-1", "far-1")) {
        loads.reported(instance, new ReportedLoad(3, 0, 6, Duration.ofMillis(900)), now);
      }

      assertThat(placeMany(Optional.empty()), everyItem(is("home-1")));
    }

    @Test
    void givesTheFailingOneLessThanRandomChoiceWould() {
      member("sound-1", "v1", 1, HOME);
      member("grey-1", "v1", 1, HOME);
      for (int i = 0; i < 50; i++) {
        answer("sound-1", Duration.ofMillis(60));
        answer("grey-1", Duration.ofMillis(60));
        loads.begin("grey-1", now);
        loads.end("grey-1", AttemptEnd.FAILED, Duration.ofMillis(60), now);
      }

      assertThat(share(placeMany(Optional.empty()), "grey"), lessThan(0.25));
    }

    @Test
    void leavesTheZoneWhereItsOnlyTargetFails() {
      member("grey-1", "v1", 1, HOME);
      member("sound-1", "v1", 1, NEXT);
      for (int i = 0; i < 50; i++) {
        answer("sound-1", Duration.ofMillis(60));
        answer("grey-1", Duration.ofMillis(60));
        loads.begin("grey-1", now);
        loads.end("grey-1", AttemptEnd.FAILED, Duration.ofMillis(60), now);
      }

      assertThat(share(placeMany(Optional.empty()), "grey"), lessThan(0.75));
    }

    private void answer(String instance, Duration took) {
      loads.begin(instance, now);
      loads.end(instance, AttemptEnd.SERVED, took, now);
    }
  }
}
