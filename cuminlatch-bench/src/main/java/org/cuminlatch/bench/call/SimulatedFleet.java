package org.cuminlatch.bench.call;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminlatch.core.config.CallLimits;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.ServiceState;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Member;

/**
 * Fleet and load of a simulation.
 *
 * @param places zone of each target
 * @param slots slots of each target
 * @param service mean time that a target takes for a request
 * @param load calls per second as a multiple of the capacity of all targets
 * @param deadline time that a caller waits for a call
 * @param slowTarget index of a target that takes {@code slowFactor} times as long, -1 for none
 * @param slowFactor how much longer it takes
 * @param regionOfCallers region in which all callers enter, empty for callers in every zone
 * @param answerBytes size of each answer
 */
record SimulatedFleet(
    List<Locality> places,
    int slots,
    Duration service,
    double load,
    Duration deadline,
    int slowTarget,
    int slowFactor,
    Optional<String> regionOfCallers,
    int answerBytes) {

  static final String SERVICE = "bookings";
  static final String VERSION = "v1";

  private static final int TARGETS = 9;
  private static final int SLOTS = 6;
  private static final int ANSWER_BYTES = 2000;

  /** Returns nine targets in one zone. */
  static SimulatedFleet oneZone(double load) {
    List<Locality> places = new ArrayList<>();
    for (int i = 0; i < TARGETS; i++) {
      places.add(new Locality("ege", "izmir"));
    }
    return new SimulatedFleet(
        places,
        SLOTS,
        Duration.ofMillis(20),
        load,
        Duration.ofMillis(500),
        -1,
        1,
        Optional.empty(),
        ANSWER_BYTES);
  }

  /** Returns eight targets over two regions of two zones each. */
  static SimulatedFleet twoRegions(double load, Optional<String> regionOfCallers) {
    List<Locality> places = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      places.add(new Locality("ege", "izmir"));
      places.add(new Locality("ege", "aydin"));
      places.add(new Locality("marmara", "bursa"));
      places.add(new Locality("marmara", "kocaeli"));
    }
    SimulatedFleet base = oneZone(load);
    return new SimulatedFleet(
        places,
        base.slots,
        base.service,
        load,
        base.deadline,
        -1,
        1,
        regionOfCallers,
        ANSWER_BYTES);
  }

  SimulatedFleet withSlowTarget(int target, int factor) {
    return new SimulatedFleet(
        places, slots, service, load, deadline, target, factor, regionOfCallers, answerBytes);
  }

  double capacity() {
    return places.size() * slots / (service.toNanos() / 1e9);
  }

  List<Member> members() {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < places.size(); i++) {
      Address address = new Address("127.0.0.1", 1 + i);
      members.add(
          new Member(
              "target-" + i,
              1,
              Member.Status.ALIVE,
              address,
              address,
              places.get(i),
              SERVICE,
              VERSION,
              slots,
              Member.Phase.SERVING,
              Set.of(1),
              1,
              ""));
    }
    return members;
  }

  Snapshot snapshot() {
    CallLimits defaults = CallLimits.defaults();
    CallLimits limits =
        new CallLimits(
            deadline,
            defaults.maxAttempts(),
            defaults.retryBudget(),
            defaults.idempotentMethods(),
            defaults.idempotenceHeader());
    Route route = Route.of("all", "/", SERVICE).withLimits(limits);
    ServiceState service = new ServiceState(SERVICE, Set.of(VERSION), VERSION);
    return new Snapshot(1, "", Map.of("all", route), Map.of(SERVICE, service), Map.of());
  }
}
