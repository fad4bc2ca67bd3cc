package org.cuminlatch.bench.call;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Member;

/**
 * Simulates callers, nodes and targets in virtual time with the decisions of the core.
 *
 * <p>Calls arrive as a Poisson process; targets take between half and one and a half times the mean
 * time. The same seed gives the same run.
 */
final class CallSimulation {

  private static final Duration WARM_UP = Duration.ofSeconds(5);

  private final VirtualTime time = new VirtualTime();
  private final SimulatedFleet fleet;
  private final Random random;
  private final SimulationTally tally = new SimulationTally(Instant.EPOCH.plus(WARM_UP));
  private final List<CallPolicy> entries = new ArrayList<>();

  private CallSimulation(SimulatedFleet fleet, PolicyFactory policies, long seed) {
    this.fleet = fleet;
    this.random = new Random(seed);
    List<Member> members = fleet.members();
    List<SimulatedTarget> targets = new ArrayList<>();
    for (int i = 0; i < members.size(); i++) {
      Duration mean =
          i == fleet.slowTarget()
              ? fleet.service().multipliedBy(fleet.slowFactor())
              : fleet.service();
      targets.add(new SimulatedTarget(time, random, fleet.slots(), mean, tally));
    }
    for (Member member : members) {
      if (callersEnterAt(member.locality())) {
        entries.add(policies.create(time, random, fleet, targets, member, tally));
      }
    }
  }

  /** Runs a fleet under a policy for a time after the warm-up. */
  static SimulationTally run(
      SimulatedFleet fleet, PolicyFactory policies, Duration length, long seed) {
    CallSimulation simulation = new CallSimulation(fleet, policies, seed);
    simulation.arriveNext();
    simulation.time.runUntil(Instant.EPOCH.plus(WARM_UP).plus(length));
    return simulation.tally;
  }

  private boolean callersEnterAt(Locality place) {
    return fleet.regionOfCallers().map(place.region()::equals).orElse(true);
  }

  private void arriveNext() {
    double rate = fleet.load() * fleet.capacity();
    double seconds = -Math.log(1 - random.nextDouble()) / rate;
    time.after(
        Duration.ofNanos((long) (seconds * 1e9)),
        () -> {
          tally.called(time.now());
          entries.get(random.nextInt(entries.size())).call();
          arriveNext();
        });
  }

  /** Creates the policy of the node at which callers enter. */
  interface PolicyFactory {

    CallPolicy create(
        VirtualTime time,
        Random random,
        SimulatedFleet fleet,
        List<SimulatedTarget> targets,
        Member self,
        SimulationTally tally);
  }
}
