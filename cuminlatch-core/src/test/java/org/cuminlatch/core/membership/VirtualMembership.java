package org.cuminlatch.core.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.cuminlatch.core.membership.Member.Phase;
import org.cuminlatch.core.membership.Member.Status;

/** Membership engines on a simulated network in virtual time, each ticked every 100 ms. */
final class VirtualMembership {

  private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
  private static final int CONTROL_PORT = 7_000;

  final VirtualNetwork network;
  final Map<String, MembershipEngine> engines = new LinkedHashMap<>();
  private final SplittableRandom random;
  private final List<Address> seeds = new ArrayList<>();
  private MembershipSettings settings = MembershipSettings.defaults();
  private final Set<String> paused = new HashSet<>();
  private int startedCount;

  VirtualMembership(long seed) {
    network = new VirtualNetwork(seed);
    random = new SplittableRandom(seed);
  }

  VirtualMembership settings(MembershipSettings newSettings) {
    settings = newSettings;
    return this;
  }

  /** Starts members named zone-0, zone-1 and so on; the first member ever started is the seed. */
  VirtualMembership start(String region, String zone, int count) {
    for (int i = 0; i < count; i++) {
      start(zone + "-" + i, region, zone);
    }
    return this;
  }

  MembershipEngine start(String instance, String region, String zone) {
    startedCount++;
    Address address = new Address("10.0.0." + startedCount, CONTROL_PORT);
    if (seeds.isEmpty()) {
      seeds.add(address);
    }
    return start(instance, new Locality(region, zone), address, network.now().getEpochSecond());
  }

  MembershipEngine start(String instance, Locality locality, Address address, long incarnation) {
    Member self = member(instance, locality, address, incarnation);
    MembershipEngine engine =
        MembershipEngine.create(
            self, seeds, network.outboxOf(address), random.split(), settings, (m, change) -> {});
    engines.put(instance, engine);
    network.attach(address, (from, m, now) -> engine.onMessage(from, (MembershipMessage) m, now));
    tick(instance, engine);
    return engine;
  }

  private void tick(String instance, MembershipEngine engine) {
    if (engines.get(instance) == engine) {
      if (!paused.contains(instance)) {
        engine.onTick(network.now());
      }
      network.after(TICK_INTERVAL, () -> tick(instance, engine));
    }
  }

  void pause(String instance, boolean pause) {
    if (pause) {
      paused.add(instance);
    } else {
      paused.remove(instance);
    }
  }

  void crash(String instance) {
    MembershipEngine engine = engines.remove(instance);
    network.detach(engine.self().controlAddress());
  }

  MembershipEngine engine(String instance) {
    return engines.get(instance);
  }

  void run(int seconds) {
    network.run(Duration.ofSeconds(seconds));
  }

  /** Returns the number of engines that list a member with a status; dead ones are not listed. */
  long countWithStatus(String instance, Status status) {
    return engines.values().stream()
        .filter(engine -> engine.member(instance).filter(m -> m.status() == status).isPresent())
        .count();
  }

  /** Returns the number of engines that list a member. */
  long countListing(String instance) {
    return engines.values().stream().filter(e -> e.member(instance).isPresent()).count();
  }

  /** Returns the number of engines that list as many members as there are engines. */
  long countConverged() {
    return engines.values().stream().filter(e -> e.members().size() == engines.size()).count();
  }

  static Member member(String instance, Locality locality, Address address, long incarnation) {
    return new Member(
        instance,
        incarnation,
        Status.ALIVE,
        address,
        new Address(address.host(), CONTROL_PORT + 1),
        locality,
        "siparis",
        "v1",
        6,
        Phase.SERVING,
        Set.of(1, 2),
        0,
        "");
  }
}
