package org.cuminlatch.core.spread;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.LogRecord;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.control.ControlMessage;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.membership.MembershipEngine;
import org.cuminlatch.core.membership.MembershipMessage;
import org.cuminlatch.core.membership.MembershipSettings;
import org.cuminlatch.core.membership.VirtualNetwork;
import org.cuminlatch.core.spread.LogRequests.Stream;

/**
 * Nodes with membership and distribution of configuration on a simulated network in virtual time,
 * in four zones of two regions.
 */
final class VirtualMesh {

  static final Locality IZMIR = new Locality("ege", "izmir");
  static final Locality AYDIN = new Locality("ege", "aydin");
  static final Locality BURSA = new Locality("marmara", "bursa");
  static final Locality KOCAELI = new Locality("marmara", "kocaeli");

  private static final List<Locality> ZONES = List.of(IZMIR, AYDIN, BURSA, KOCAELI);
  private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
  private static final int CONTROL_PORT = 7_000;

  final VirtualNetwork network;
  final FakeLog log;
  final Map<String, Node> nodes = new LinkedHashMap<>();
  final List<String> refusals = new ArrayList<>();
  final List<Long> divergences = new ArrayList<>();
  private final Map<String, Long> highestVersions = new HashMap<>();
  private final Map<Address, Locality> localities = new HashMap<>();
  private final Map<String, Address> addresses = new LinkedHashMap<>();
  private final SplittableRandom random;
  private SpreadSettings settings = SpreadSettings.defaults();
  private int seedCount = 4;
  private Predicate<Locality> isLogReachable = locality -> true;

  VirtualMesh(long seed) {
    network = new VirtualNetwork(seed);
    log = new FakeLog(network);
    random = new SplittableRandom(seed);
  }

  VirtualMesh withoutSeeds() {
    seedCount = 0;
    return this;
  }

  VirtualMesh settings(SpreadSettings newSettings) {
    settings = newSettings;
    return this;
  }

  /** Starts the same number of nodes in each zone, named after their zone. */
  VirtualMesh start(int perZone) {
    for (int i = 0; i < perZone; i++) {
      for (Locality zone : ZONES) {
        start(zone.zone() + "-" + i, zone);
      }
    }
    return this;
  }

  Node start(String instance, Locality locality) {
    Address address =
        addresses.computeIfAbsent(
            instance, name -> new Address("10.0.0." + (addresses.size() + 1), CONTROL_PORT));
    localities.put(address, locality);
    Node node = new Node(instance, locality, address);
    nodes.put(instance, node);
    network.attach(address, (from, message, now) -> node.receive(from, message));
    node.tick();
    return node;
  }

  void crash(String instance) {
    Node node = nodes.remove(instance);
    network.detach(node.address);
  }

  /** Crashes nodes at once and restarts each after a random delay. */
  void restart(Predicate<Node> selection, Duration maxDelay) {
    for (Node node : nodes.values().stream().filter(selection).toList()) {
      crash(node.instance);
      Duration delay = Duration.ofNanos((long) (random.nextDouble() * maxDelay.toNanos()));
      network.after(delay, () -> start(node.instance, node.locality));
    }
  }

  /** Separates the regions; only the region ege reaches the log. */
  void partitionRegions() {
    network.partition((a, b) -> !region(a).equals(region(b)));
    isLogReachable = locality -> locality.region().equals("ege");
  }

  void heal() {
    network.heal();
    isLogReachable = locality -> true;
  }

  private String region(Address address) {
    return localities.get(address).region();
  }

  /** Appends a record and returns the configuration version that includes it. */
  long publish() {
    String text = "record " + log.nextOffset(Stream.CONFIGURATION);
    Bytes content = Bytes.copyOf(text.getBytes(StandardCharsets.UTF_8));
    return log.append(Stream.CONFIGURATION, content) + 1;
  }

  void run(int seconds) {
    network.run(Duration.ofSeconds(seconds));
  }

  long countWithVersion(long version) {
    return nodes.values().stream().filter(n -> n.replica.version() >= version).count();
  }

  long countWithVersion(String region, long version) {
    return nodes.values().stream()
        .filter(n -> n.locality.region().equals(region) && n.replica.version() >= version)
        .count();
  }

  Node reader(String region) {
    return nodes.values().stream()
        .filter(n -> n.locality.region().equals(region) && n.spread.isReader())
        .findFirst()
        .orElseThrow();
  }

  /** A node from its start until it crashes. */
  final class Node implements FakeLog.Client, SpreadListener {
    final String instance;
    final Locality locality;
    final Address address;
    final FakeReplica replica = new FakeReplica();
    final MembershipEngine membership;
    final SpreadEngine spread;
    private boolean isPaused;

    private Node(String instance, Locality locality, Address address) {
      this.instance = instance;
      this.locality = locality;
      this.address = address;
      Member self =
          new Member(
              instance,
              network.now().getEpochSecond(),
              Member.Status.ALIVE,
              address,
              new Address(address.host(), CONTROL_PORT + 1),
              locality,
              "siparis",
              "v1",
              6,
              Member.Phase.SERVING,
              Set.of(1),
              0,
              "");
      List<Address> seeds = addresses.values().stream().limit(seedCount).toList();
      membership =
          MembershipEngine.create(
              self,
              seeds,
              network.outboxOf(address),
              random.split(),
              MembershipSettings.defaults(),
              (m, c) -> {});
      spread =
          SpreadEngine.create(
              self,
              replica,
              membership,
              log.requestsOf(this),
              network.outboxOf(address),
              random.split(),
              settings,
              this);
      spread.enableLogRendezvous(membership::addSeed);
    }

    private void tick() {
      if (nodes.get(instance) != this) {
        return;
      }
      if (!isPaused) {
        membership.onTick(network.now());
        spread.onTick(network.now());
      }
      network.after(TICK_INTERVAL, this::tick);
    }

    void pause(boolean pause) {
      isPaused = pause;
    }

    private void receive(Address from, ControlMessage message) {
      if (isPaused) {
        return;
      }
      if (message instanceof MembershipMessage gossip) {
        membership.onMessage(from, gossip, network.now());
      } else {
        spread.onMessage(from, (SpreadMessage) message, network.now());
      }
    }

    private boolean isRunning() {
      return nodes.get(instance) == this && !isPaused;
    }

    @Override
    public boolean reachable() {
      return isLogReachable.test(locality);
    }

    @Override
    public void onBatch(Stream stream, long first, long next, List<LogRecord> records) {
      if (isRunning()) {
        spread.onLogBatch(stream, first, next, records, network.now());
      }
    }

    @Override
    public void onFailure(Stream stream, ErrorCode code, boolean append) {
      if (isRunning()) {
        spread.onLogFailure(stream, code, append, network.now());
      }
    }

    @Override
    public void onAppended(Stream stream, long offset) {
      if (isRunning()) {
        spread.onAppended(stream, offset, network.now());
      }
    }

    @Override
    public void onInForce(Snapshot snapshot) {
      membership.updateConfiguration(snapshot.version(), snapshot.stateHash());
      highestVersions.merge(instance, snapshot.version(), Math::max);
    }

    @Override
    public void onDivergence(long version, String hashes) {
      divergences.add(version);
    }

    @Override
    public void onRefused(String reason) {
      refusals.add(reason);
    }
  }
}
