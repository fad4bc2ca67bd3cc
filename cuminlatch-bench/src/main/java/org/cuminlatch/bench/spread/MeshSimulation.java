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

/** Simulated mesh of two regions and seven zones, with the log in the first region. */
final class MeshSimulation {

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
  private static final int MAX_SEEDS = 7;
  private static final int SERVICES = 160;

  final VirtualTime time = new VirtualTime();
  final MeshNetwork network;
  final MeshLog log = new MeshLog(time, ZONES.get(0));
  private final SplittableRandom random;
  private final int size;
  private final List<Address> seeds = new ArrayList<>();
  private final Map<Integer, MeshNode> nodes = new HashMap<>();
  private final Map<Long, Instant> publishedAt = new HashMap<>();
  private final List<Duration> propagationDelays = new ArrayList<>();
  private int publishedRecords;

  MeshSimulation(int size, long seed) {
    this.size = size;
    this.random = new SplittableRandom(seed);
    this.network = new MeshNetwork(time, seed);
    for (int i = 0; i < Math.min(size, MAX_SEEDS); i++) {
      seeds.add(address(i));
    }
  }

  /** Fills the log with the initial target versions and routes of all services. */
  void fillLog() {
    for (int i = 0; i < SERVICES; i++) {
      append(
          ConfigurationCodecs.encode(
              nextRecordId(), newTargetVersion(i, "v1"), OptionalLong.empty()));
      append(ConfigurationCodecs.encode(nextRecordId(), route(i), OptionalLong.empty()));
    }
  }

  private String nextRecordId() {
    publishedRecords++;
    return "record-" + publishedRecords;
  }

  private static TargetVersion newTargetVersion(int service, String version) {
    return new TargetVersion("service-" + service, version);
  }

  private static Route route(int service) {
    return Route.of("route-" + service, "/service-" + service + "/", "service-" + service);
  }

  private long append(Bytes content) {
    return log.append(Stream.CONFIGURATION, content);
  }

  /** Publishes a change and returns the configuration version that contains it. */
  long publish() {
    String targetVersion = "v" + publishedRecords;
    long offset =
        append(
            ConfigurationCodecs.encode(
                nextRecordId(),
                newTargetVersion(publishedRecords % SERVICES, targetVersion),
                OptionalLong.empty()));
    publishedAt.put(offset + 1, time.now());
    return offset + 1;
  }

  void startAll(Duration window) {
    for (int i = 0; i < size; i++) {
      int index = i;
      time.after(randomDelay(window), () -> start(index));
    }
  }

  private Duration randomDelay(Duration window) {
    return Duration.ofNanos((long) (random.nextDouble() * window.toNanos()));
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
            this::recordInForce);
    nodes.put(index, node);
  }

  private static Address address(int index) {
    return new Address("10." + index % 7 + "." + index / 250 + "." + index % 250, CONTROL_PORT);
  }

  /** Kills the selected nodes and restarts each after a random delay; returns their number. */
  int restart(Predicate<Integer> selected, Duration window) {
    int count = 0;
    for (int i = 0; i < size; i++) {
      if (selected.test(i)) {
        int index = i;
        kill(index);
        time.after(randomDelay(window), () -> start(index));
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

  void setPartitioned(boolean partitioned) {
    network.setPartitioned(partitioned);
    log.setPartitioned(partitioned);
  }

  private void recordInForce(MeshNode node, long version) {
    Instant at = publishedAt.get(version);
    if (at != null) {
      propagationDelays.add(Duration.between(at, time.now()));
    }
  }

  void run(Duration duration) {
    time.run(duration);
  }

  /** Runs until all nodes have a version or the limit is reached; returns the elapsed time. */
  Duration runUntil(long version, Duration limit) {
    Duration step = Duration.ofMillis(50);
    Duration elapsed = Duration.ZERO;
    while (elapsed.compareTo(limit) < 0 && (nodes.size() < size || countBehind(version) > 0)) {
      run(step);
      elapsed = elapsed.plus(step);
    }
    return elapsed;
  }

  long countBehind(long version) {
    return nodes.values().stream().filter(node -> node.version() < version).count();
  }

  long logSize() {
    return log.size(Stream.CONFIGURATION);
  }

  long countWithAllMembers() {
    return nodes.values().stream().filter(node -> node.memberCount() == size).count();
  }

  List<Duration> drainDelays() {
    List<Duration> drained = new ArrayList<>(propagationDelays);
    propagationDelays.clear();
    return drained;
  }

  Map<Integer, MeshNode> nodes() {
    return nodes;
  }

  int size() {
    return size;
  }

  /** Measures the convergence of all published versions from now on. */
  void restartConvergenceClock() {
    publishedAt.replaceAll((version, at) -> time.now());
  }

  String versionInForceAtReader() {
    return nodes.values().stream()
        .filter(node -> node.spread().isReporter())
        .findFirst()
        .map(node -> node.spread().inForce().toString())
        .orElse("none");
  }
}
