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
 * Targets and load of a simulation.
 *
 * @param localities region and zone of each target
 * @param slots slots of each target
 * @param serviceTime mean time that a target needs for a request
 * @param load calls per second as a multiple of the capacity of all targets
 * @param deadline time within which a call must be answered
 * @param slowTarget index of a target that needs {@code slowFactor} times as long, -1 for none
 * @param slowFactor factor by which the slow target is slower
 * @param regionOfCallers region of all callers, empty for callers in every zone
 * @param answerBytes size of each answer in bytes
 */
record SimulatedFleet(
    List<Locality> localities,
    int slots,
    Duration serviceTime,
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
    List<Locality> localities = new ArrayList<>();
    for (int i = 0; i < TARGETS; i++) {
      localities.add(new Locality("ege", "izmir"));
    }
    return new SimulatedFleet(
        localities,
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
    List<Locality> localities = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      localities.add(new Locality("ege", "izmir"));
      localities.add(new Locality("ege", "aydin"));
      localities.add(new Locality("marmara", "bursa"));
      localities.add(new Locality("marmara", "kocaeli"));
    }
    SimulatedFleet template = oneZone(load);
    return new SimulatedFleet(
        localities,
        template.slots,
        template.serviceTime,
        load,
        template.deadline,
        -1,
        1,
        regionOfCallers,
        ANSWER_BYTES);
  }

  SimulatedFleet withSlowTarget(int target, int factor) {
    return new SimulatedFleet(
        localities,
        slots,
        serviceTime,
        load,
        deadline,
        target,
        factor,
        regionOfCallers,
        answerBytes);
  }

  double capacity() {
    return localities.size() * slots / (serviceTime.toNanos() / 1e9);
  }

  List<Member> members() {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < localities.size(); i++) {
      Address address = new Address("127.0.0.1", 1 + i);
      members.add(
          new Member(
              "target-" + i,
              1,
              Member.Status.ALIVE,
              address,
              address,
              localities.get(i),
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
