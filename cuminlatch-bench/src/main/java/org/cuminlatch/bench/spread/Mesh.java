package org.cuminlatch.bench.spread;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.TargetVersion;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.spread.LogRequests.Stream;
import org.cuminlatch.wire.config.ConfigurationCodecs;

/** Nodes of a whole mesh over two regions and seven zones, with the log in the first region. */
final class Mesh {

  static final List<Locality> ZONES =
      List.of(
          new Locality("ege", "izmir"),
          new Locality("ege", "aydin"),
          new Locality("ege", "manisa"),
          new Locality("ege", "mugla"),
          new Locality("marmara", "bursa"),
          new Locality("marmara", "kocaeli"),
          new Locality("marmara", "yalova"));

  private static final int CONTROL_PORT = 7_000;
  private static final int SEEDS = 7;
  private static final int SERVICES = 160;

  final VirtualTime time = new VirtualTime();
  final MeshNetwork network;
  final MeshLog log = new MeshLog(time, ZONES.get(0));
  private final SplittableRandom random;
  private final int size;
  private final List<Address> seeds = new ArrayList<>();
  private final Map<Integer, MeshNode> nodes = new HashMap<>();
  private final Map<Long, Instant> publishedAt = new HashMap<>();
  private final List<Duration> delays = new ArrayList<>();
  private int published;

  Mesh(int size, long seed) {
    this.size = size;
    this.random = new SplittableRandom(seed);
    this.network = new MeshNetwork(time, seed);
    for (int i = 0; i < Math.min(size, SEEDS); i++) {
      seeds.add(address(i));
    }
  }

  /** Fills the log with the state of a mesh: target versions and routes of all services. */
  void fillLog() {
    for (int i = 0; i < SERVICES; i++) {
      append(ConfigurationCodecs.encode(id(), version(i, "v1"), OptionalLong.empty()));
      append(ConfigurationCodecs.encode(id(), route(i), OptionalLong.empty()));
    }
  }

  private String id() {
    published++;
    return "record-" + published;
  }

  private static TargetVersion version(int service, String version) {
    return new TargetVersion("service-" + service, version);
  }

  private static Route route(int service) {
    return Route.of("route-" + service, "/service-" + service + "/", "service-" + service);
  }

  private long append(Bytes content) {
    return log.append(Stream.CONFIGURATION, content);
  }

  /** Publishes a change and returns the version that brings it. */
  long publish() {
    String name = "v" + published;
    long offset =
        append(
            ConfigurationCodecs.encode(
                id(), version(published % SERVICES, name), OptionalLong.empty()));
    publishedAt.put(offset + 1, time.now());
    return offset + 1;
  }

  void startAll(Duration within) {
    for (int i = 0; i < size; i++) {
      int index = i;
      time.after(jitter(within), () -> start(index));
    }
  }

  private Duration jitter(Duration within) {
    return Duration.ofNanos((long) (random.nextDouble() * within.toNanos()));
  }

  private void start(int index) {
    MeshNode node =
        new MeshNode(
            time,
            network,
            log,
            "i-" + Integer.toHexString(0x5a0000 + index),
            ZONES.get(index % ZONES.size()),
            address(index),
            seeds,
            random.split(),
            this::inForce);
    nodes.put(index, node);
  }

  private static Address address(int index) {
    return new Address("10." + index % 7 + "." + index / 250 + "." + index % 250, CONTROL_PORT);
  }

  /** Kills nodes and starts them again, each a while later. */
  int restart(Predicate<Integer> which, Duration within) {
    int count = 0;
    for (int i = 0; i < size; i++) {
      if (which.test(i)) {
        int index = i;
        kill(index);
        time.after(jitter(within), () -> start(index));
        count++;
      }
    }
    return count;
  }

  void kill(int index) {
    MeshNode node = nodes.remove(index);
    node.stop();
    network.detach(node.self().controlAddress());
  }

  void cutRegions(boolean cut) {
    network.cutRegions(cut);
    log.cutRegions(cut);
  }

  private void inForce(MeshNode node, long version) {
    Instant at = publishedAt.get(version);
    if (at != null) {
      delays.add(Duration.between(at, time.now()));
    }
  }

  void run(Duration duration) {
    time.run(duration);
  }

  /** Runs until all nodes have a version, in steps; returns the time it took, at most the limit. */
  Duration runUntil(long version, Duration limit) {
    Duration step = Duration.ofMillis(50);
    Duration taken = Duration.ZERO;
    while (taken.compareTo(limit) < 0 && (nodes.size() < size || behind(version) > 0)) {
      run(step);
      taken = taken.plus(step);
    }
    return taken;
  }

  long behind(long version) {
    return nodes.values().stream().filter(node -> node.version() < version).count();
  }

  long logEnd() {
    return log.size(Stream.CONFIGURATION);
  }

  long complete() {
    return nodes.values().stream().filter(node -> node.memberCount() == size).count();
  }

  List<Duration> takeDelays() {
    List<Duration> taken = new ArrayList<>(delays);
    delays.clear();
    return taken;
  }

  Map<Integer, MeshNode> nodes() {
    return nodes;
  }

  int size() {
    return size;
  }

  /** Counts the convergence of everything that is still unknown somewhere from now on. */
  void healed() {
    publishedAt.replaceAll((version, at) -> time.now());
  }

  String inForceAtReader() {
    return nodes.values().stream()
        .filter(node -> node.spread().isReporter())
        .findFirst()
        .map(node -> node.spread().inForce().toString())
        .orElse("none");
  }
}
