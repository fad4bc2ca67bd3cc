package org.cuminlatch.bench.call;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Member;

/**
 * Simulates callers, nodes and targets in virtual time, using the decision logic of the core
 * module.
 *
 * <p>Calls arrive as a Poisson process. Service times are uniform between 0.5 and 1.5 times the
 * mean. The same seed gives the same run.
 */
final class CallSimulation {

  private static final Duration WARM_UP = Duration.ofSeconds(5);

  private final VirtualTime time = new VirtualTime();
  private final SimulatedFleet fleet;
  private final Random random;
  private final SimulationCounters counters = new SimulationCounters(Instant.EPOCH.plus(WARM_UP));
  private final List<CallPolicy> entryPolicies = new ArrayList<>();

  private CallSimulation(SimulatedFleet fleet, PolicyFactory policyFactory, long seed) {
    this.fleet = fleet;
    this.random = new Random(seed);
    List<Member> members = fleet.members();
    List<SimulatedTarget> targets = new ArrayList<>();
    for (int i = 0; i < members.size(); i++) {
      Duration meanServiceTime =
          i == fleet.slowTarget()
              ? fleet.serviceTime().multipliedBy(fleet.slowFactor())
              : fleet.serviceTime();
      targets.add(new SimulatedTarget(time, random, fleet.slots(), meanServiceTime, counters));
    }
    for (Member member : members) {
      if (acceptsCallers(member.locality())) {
        entryPolicies.add(policyFactory.create(time, random, fleet, targets, member, counters));
      }
    }
  }

  /** Simulates a fleet under a policy for the given time after the warm-up. */
  static SimulationCounters run(
      SimulatedFleet fleet, PolicyFactory policyFactory, Duration duration, long seed) {
    CallSimulation simulation = new CallSimulation(fleet, policyFactory, seed);
    simulation.scheduleNextArrival();
    simulation.time.runUntil(Instant.EPOCH.plus(WARM_UP).plus(duration));
    return simulation.counters;
  }

  private boolean acceptsCallers(Locality locality) {
    return fleet.regionOfCallers().map(locality.region()::equals).orElse(true);
  }

  private void scheduleNextArrival() {
    double callsPerSecond = fleet.load() * fleet.capacity();
    double seconds = -Math.log(1 - random.nextDouble()) / callsPerSecond;
    time.after(
        Duration.ofNanos((long) (seconds * 1e9)),
        () -> {
          counters.recordCall(time.now());
          entryPolicies.get(random.nextInt(entryPolicies.size())).call();
          scheduleNextArrival();
        });
  }

  /** Creates the policy of a node that accepts callers. */
  interface PolicyFactory {

    CallPolicy create(
        VirtualTime time,
        Random random,
        SimulatedFleet fleet,
        List<SimulatedTarget> targets,
        Member self,
        SimulationCounters counters);
  }
}
