package org.cuminlatch.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.cuminlatch.core.admission.MeshSimulation.Decision;
import org.cuminlatch.core.admission.MeshSimulation.Kind;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Each test names the load that its decision is for, and plays it with the decision and without.
 */
@DisplayName("A mesh under a load near or above its capacity")
class MeshOverloadTests {

  private static final Duration LENGTH = Duration.ofSeconds(33);
  private static final int SEEDS = 2;

  /** Difference of shares between two runs that is due to chance. */
  private static final double NOISE = 0.01;

  private static final Kind LOOKUP =
      new Kind(
          "lookup",
          "front",
          0,
          568,
          millis(210),
          millis(536),
          millis(3217),
          millis(1500),
          1.4,
          0.17,
          nested("called-a", "middle"));
  private static final Kind CHECKOUT =
      new Kind(
          "checkout",
          "front",
          1,
          240,
          millis(276),
          millis(837),
          millis(3138),
          millis(1500),
          1.5,
          0.44,
          nested("called-b", "back"));
  private static final Kind UPLOAD =
      new Kind(
          "upload",
          "front",
          2,
          84.6,
          millis(248),
          millis(2093),
          millis(4186),
          millis(4186),
          0.74,
          0.33,
          List.of());
  private static final double PER_SECOND = 568 + 240 + 84.6;

  private static Duration millis(long count) {
    return Duration.ofMillis(count);
  }

  private static Duration seconds(long count) {
    return Duration.ofSeconds(count);
  }

  /** Returns two lookups that a run makes in another service. */
  private static List<Kind> nested(String route, String service) {
    Kind lookup =
        new Kind(
            route,
            service,
            1,
            0,
            millis(52),
            millis(232),
            millis(695),
            millis(695),
            0,
            0,
            List.of());
    return List.of(lookup, lookup);
  }

  /**
   * Three services, three routes and 78 accounts: the demand and goals of a deployment with keys.
   */
  private static final class ManyAccounts {

    private final MeshSimulation simulation;
    private final double factor;

    ManyAccounts(long seed, double load, Set<Decision> without) {
      simulation = new MeshSimulation(seed, without, 0.2);
      simulation.addTargets("front", 36, 6, 0.5, 1.6);
      simulation.addTargets("middle", 26, 6, 0.5, 1.6);
      simulation.addTargets("back", 8, 6, 0.5, 1.6);
      double slots = 0;
      for (Kind kind : new Kind[] {LOOKUP, CHECKOUT, UPLOAD}) {
        double calls = !kind.nested().isEmpty() ? 0.7 * 0.08 : 0;
        slots += kind.perSecond() * (kind.work().toMillis() / 1e3 + calls);
      }
      factor = load * simulation.slotCapacity("front") / slots;
      simulation.addAccounts(78, factor * PER_SECOND);
      for (Kind kind : new Kind[] {LOOKUP, CHECKOUT, UPLOAD}) {
        add(kind, 1, Duration.ZERO, LENGTH);
      }
    }

    /** Adds a multiple of the usual requests of a kind. */
    void add(Kind kind, double multiple, Duration from, Duration to) {
      double perSecond = factor * multiple * kind.perSecond();
      simulation.addRequests(kind, OptionalInt.empty(), perSecond, from, to);
    }

    /** Adds bursts of two routes, of 2 and 2.3 times their usual rate. */
    void addBursts() {
      add(LOOKUP, 1, seconds(8), seconds(13));
      add(CHECKOUT, 1.3, seconds(20), seconds(26));
    }
  }

  /** Three services and no accounts: targets, goals and deadlines of one that swings. */
  private static MeshSimulation withoutAccounts(double load, Set<Decision> without) {
    MeshSimulation simulation = new MeshSimulation(1, without, 0);
    simulation.addTargets("first", 31, 9, 0.5, 1.6);
    simulation.addTargets("second", 23, 9, 0.5, 1.6);
    simulation.addTargets("third", 30, 9, 0.5, 1.6);
    List<Kind> nested =
        List.of(
            new Kind(
                "called",
                "third",
                1,
                0,
                millis(80),
                millis(400),
                millis(1500),
                millis(1500),
                0,
                0,
                List.of()));
    Kind brief =
        new Kind(
            "short",
            "first",
            0,
            0,
            millis(250),
            millis(800),
            millis(5200),
            millis(2500),
            1,
            0.3,
            nested);
    Kind longer =
        new Kind(
            "long",
            "second",
            1,
            0,
            millis(400),
            millis(2000),
            millis(12200),
            millis(3000),
            1,
            0.3,
            nested);
    for (Kind kind : List.of(brief, longer)) {
      double slots = (kind.work().toMillis() + 0.7 * 90) / 1e3;
      double perSecond = load * simulation.slotCapacity(kind.service()) / slots;
      simulation.addRequests(kind, OptionalInt.empty(), perSecond, Duration.ZERO, LENGTH);
      for (long from : new long[] {6, 21}) {
        simulation.addRequests(
            kind, OptionalInt.empty(), perSecond / 2, seconds(from), seconds(from + 8));
      }
    }
    return simulation.play();
  }

  /** What the clients got, summed over some seeds; the tables are kept for the design note. */
  private static MeshSimulation play(
      String name, double load, Set<Decision> without, Consumer<ManyAccounts> extra) {
    List<MeshSimulation> runs =
        LongStream.rangeClosed(1, SEEDS)
            .parallel()
            .mapToObj(
                seed -> {
                  ManyAccounts mesh = new ManyAccounts(seed, load, without);
                  extra.accept(mesh);
                  return mesh.simulation.play();
                })
            .toList();
    MeshSimulation sum = runs.get(0);
    runs.stream().skip(1).forEach(sum::addResults);
    keep(name + (without.isEmpty() ? " with" : " without " + without), sum.table());
    return sum;
  }

  private static void keep(String name, String table) {
    try {
      Path folder = Files.createDirectories(Path.of("target", "overload"));
      Files.writeString(folder.resolve(name.replace(' ', '-') + ".txt"), table);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Load: near capacity, and the called service gets more requests of its own than it can run. */
  @Nested
  class CallsOfRunningRequests {

    private static final Kind SEARCH =
        new Kind(
            "search",
            "middle",
            0,
            400,
            millis(150),
            millis(500),
            millis(2000),
            millis(1500),
            1,
            0.2,
            List.of());

    private void addSearches(ManyAccounts mesh) {
      double capacity = mesh.simulation.slotCapacity("middle") / 0.15;
      mesh.simulation.addRequests(SEARCH, OptionalInt.empty(), capacity, Duration.ZERO, LENGTH);
    }

    @Test
    void areNotRefusedForNewWork() {
      MeshSimulation with = play("nested", 0.8, Set.of(), this::addSearches);
      MeshSimulation without =
          play("nested", 0.8, EnumSet.of(Decision.NESTED_FIRST), this::addSearches);

      assertThat(with.byRoute.get("lookup").lostShare(), lessThanOrEqualTo(0.01));
      assertThat(
          with.byRoute.get("lookup").served(), greaterThan(without.byRoute.get("lookup").served()));
      assertThat(with.all.valueShare(), greaterThan(without.all.valueShare()));
    }
  }

  /** Load: nine tenths of capacity, and one account sends nine times its usual for 8 s. */
  @Nested
  class Accounts {

    @ParameterizedTest
    @ValueSource(ints = {0, 2, 9})
    void areServedBesideOneThatSendsNineTimesItsUsual(int account) {
      Consumer<ManyAccounts> flood =
          mesh -> {
            for (Kind kind : new Kind[] {LOOKUP, CHECKOUT, UPLOAD}) {
              double usual =
                  mesh.factor * kind.perSecond() * mesh.simulation.shareOfAccount(account);
              mesh.simulation.addRequests(
                  kind, OptionalInt.of(account), 8 * usual, seconds(10), seconds(18));
            }
          };
      String name = "account " + account;
      MeshSimulation with = play(name, 0.9, Set.of(), flood);
      MeshSimulation without = play(name, 0.9, EnumSet.of(Decision.ACCOUNT_SHARES), flood);
      keep(name + " others", with.withoutAccount(account) + "\n" + without.withoutAccount(account));

      assertThat(with.leastShareOfAccount(), greaterThanOrEqualTo(with.all.served() / 4));
      assertThat(
          with.withoutAccount(account).served(),
          greaterThan(without.withoutAccount(account).served()));
    }
  }

  /** Load: at and above capacity for the whole time, and bursts of one route. */
  @Nested
  class RequestsThatMayWait {

    @ParameterizedTest
    @ValueSource(doubles = {0.9, 1.0, 1.1, 1.3})
    void areServedInsteadOfRefusedUnderSteadyLoad(double load) {
      assertServesMore("wait " + load, load, mesh -> {});
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.85, 0.95})
    void areServedInsteadOfRefusedUnderBursts(double load) {
      assertServesMore("wait bursts " + load, load, ManyAccounts::addBursts);
    }

    /** Load: demand that swings by half, without accounts. */
    @ParameterizedTest
    @ValueSource(doubles = {0.6, 0.75, 0.9})
    void areServedInsteadOfRefusedUnderSwings(double load) {
      MeshSimulation with = withoutAccounts(load, Set.of());
      MeshSimulation without = withoutAccounts(load, EnumSet.of(Decision.LOW_SAFETY));
      keep("swings " + load, with.table() + without.table());

      assertServesMore(with, without);
    }

    private void assertServesMore(String name, double load, Consumer<ManyAccounts> extra) {
      assertServesMore(
          play(name, load, Set.of(), extra),
          play(name, load, EnumSet.of(Decision.LOW_SAFETY), extra));
    }

    private void assertServesMore(MeshSimulation with, MeshSimulation without) {
      assertThat(with.all.valueShare(), greaterThanOrEqualTo(without.all.valueShare() - NOISE));
      assertThat(with.all.inTimeShare(), greaterThanOrEqualTo(without.all.inTimeShare() - NOISE));
      assertThat(with.all.served(), greaterThanOrEqualTo(without.all.served() - NOISE));
    }
  }

  /** Load: targets of unequal speed, up to and above their capacity. */
  @Nested
  class TargetsOfUnequalSpeed {

    @ParameterizedTest
    @ValueSource(doubles = {0.7, 0.9, 1.0, 1.1})
    void answerMoreInTimeIfChosenByTheirServiceTime(double load) {
      MeshSimulation with = play("speed " + load, load, Set.of(), mesh -> {});
      MeshSimulation without =
          play("speed " + load, load, EnumSet.of(Decision.SERVICE_TIME), mesh -> {});

      assertThat(with.all.inTimeShare(), greaterThan(without.all.inTimeShare()));
      assertThat(with.all.served(), greaterThanOrEqualTo(without.all.served()));
    }
  }

  /** Load: at and above capacity, with two routes of one priority whose work differs fivefold. */
  @Nested
  class RequestsOfUnequalWork {

    private static final Kind BRIEF =
        new Kind(
            "brief",
            "front",
            1,
            0,
            millis(60),
            millis(300),
            millis(1500),
            millis(1500),
            1,
            0.3,
            List.of());
    private static final Kind LONG =
        new Kind(
            "long",
            "front",
            1,
            0,
            millis(300),
            millis(900),
            millis(3000),
            millis(3000),
            1,
            0.3,
            List.of());

    private MeshSimulation play(double load, Set<Decision> without) {
      MeshSimulation sum = null;
      for (long seed = 1; seed <= SEEDS; seed++) {
        MeshSimulation simulation = new MeshSimulation(seed, without, 0);
        simulation.addTargets("front", 12, 6, 0.5, 1.6);
        double perSecond = load * simulation.slotCapacity("front") / (0.06 + 0.3);
        for (Kind kind : List.of(BRIEF, LONG)) {
          simulation.addRequests(kind, OptionalInt.empty(), perSecond, Duration.ZERO, LENGTH);
        }
        simulation.play();
        if (sum == null) {
          sum = simulation;
        } else {
          sum.addResults(simulation);
        }
      }
      return sum;
    }

    private void keepTables(double load, MeshSimulation with, MeshSimulation without) {
      keep("work " + load, "with\n" + with.table() + "without\n" + without.table());
    }

    /** Guards against slots that answer few long requests in time instead of many short ones. */
    @ParameterizedTest
    @ValueSource(doubles = {1.0, 1.2, 1.5})
    void areAnsweredInTimeMoreOftenByTheWorkThatTheyNeed(double load) {
      MeshSimulation with = play(load, Set.of());
      MeshSimulation without = play(load, EnumSet.of(Decision.DISPLACEMENT));
      keepTables(load, with, without);

      assertThat(with.all.inTimeShare(), greaterThan(without.all.inTimeShare() + NOISE));
      assertThat(with.all.valueShare(), greaterThan(without.all.valueShare() + NOISE));
      assertThat(with.all.served(), greaterThan(without.all.served()));
    }

    /** Guards against long requests that are refused although there is room for all. */
    @Test
    void areServedAlikeBelowCapacity() {
      MeshSimulation with = play(0.8, Set.of());
      MeshSimulation without = play(0.8, EnumSet.of(Decision.DISPLACEMENT));
      keepTables(0.8, with, without);

      for (String route : List.of("brief", "long")) {
        assertThat(
            with.byRoute.get(route).inTimeShare(),
            greaterThanOrEqualTo(without.byRoute.get(route).inTimeShare() - NOISE));
      }
    }
  }
}
