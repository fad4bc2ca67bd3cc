package org.cuminlatch.bench.move;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.config.MoveOutcome;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.control.ControlMessage;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.move.CallOutcome;
import org.cuminlatch.core.move.EvidenceMessage;
import org.cuminlatch.core.move.MoveSettings;
import org.cuminlatch.core.move.VersionShares.VersionShare;
import org.cuminlatch.wire.move.EvidenceCodec;

/**
 * Nodes of a service on a simulated network in virtual time.
 *
 * <p>Messages arrive one tick after they were sent; some are lost. Every node's clock deviates by
 * up to two seconds. Node failures and partitions become visible in the membership after a delay.
 */
final class SimulatedMesh implements MoveStrategy {

  private static final int MAX_CLOCK_ERROR_MILLIS = 2_000;
  private static final double MESSAGE_LOSS_RATE = 0.01;
  private static final Duration FAILURE_DETECTION_DELAY = Duration.ofSeconds(4);
  private static final Duration RECOVERY_DETECTION_DELAY = Duration.ofSeconds(2);

  private final ServiceProfile profile;
  private final RandomGenerator random;
  private final SimulatedLog log;
  private final EvidenceCodec codec = new EvidenceCodec();
  private final List<SimulatedNode> nodes = new ArrayList<>();
  private final Map<Address, SimulatedNode> byAddress = new HashMap<>();
  private final Map<String, List<Member>> viewsByRegion = new HashMap<>();
  private final Map<SimulatedNode, List<Member>> viewOverrides = new HashMap<>();
  private final Map<String, Instant> downSince = new HashMap<>();
  private List<Delivery> inFlight = new ArrayList<>();
  private Instant now;
  private boolean logUp = true;
  private boolean partitioned;
  private Optional<Instant> partitionedSince = Optional.empty();
  private Optional<Instant> healedAt = Optional.empty();
  private boolean viewsChanged = true;
  private long evidenceBytes;
  private long crossRegionBytes;

  private record Delivery(SimulatedNode from, Address to, ControlMessage message) {}

  SimulatedMesh(ServiceProfile profile, Move move, Instant start, RandomGenerator random) {
    this.profile = profile;
    this.random = random;
    this.now = start;
    this.log = new SimulatedLog(profile, move);
    for (int i = 0; i < profile.targets(); i++) {
      addNode(profile.zones().get(i % profile.zones().size()), move.from());
    }
    for (int i = 0; i < profile.targets(); i++) {
      addNode(profile.zones().get(i % profile.zones().size()), move.to());
    }
  }

  /** Adds a node whose target serves the given version; it joins immediately. */
  SimulatedNode addNode(ServiceProfile.Zone zone, String version) {
    int number = nodes.size() + 1;
    String instance = profile.service() + "-" + number;
    Member member =
        SimulatedNode.servingMember(
            instance, number, zone, profile.service(), version, profile.slots());
    int clockErrorMillis = random.nextInt(-MAX_CLOCK_ERROR_MILLIS, MAX_CLOCK_ERROR_MILLIS + 1);
    SimulatedNode[] holder = new SimulatedNode[1];
    holder[0] =
        new SimulatedNode(
            member,
            Duration.ofMillis(clockErrorMillis),
            (to, message) -> send(holder[0], to, message),
            outcome -> append(holder[0], outcome),
            MoveSettings.defaults());
    nodes.add(holder[0]);
    byAddress.put(member.controlAddress(), holder[0]);
    viewsChanged = true;
    return holder[0];
  }

  private void send(SimulatedNode from, Address to, ControlMessage message) {
    int length = codec.encode((EvidenceMessage) message).length;
    evidenceBytes += length;
    SimulatedNode receiver = byAddress.get(to);
    boolean crossesRegions = !regionOf(from).equals(regionOf(receiver));
    crossRegionBytes += crossesRegions ? length : 0;
    if ((partitioned && crossesRegions) || random.nextDouble() < MESSAGE_LOSS_RATE) {
      return;
    }
    inFlight.add(new Delivery(from, to, message));
  }

  private void append(SimulatedNode node, MoveOutcome outcome) {
    if (logUp && canReachLog(node)) {
      log.append(outcome);
    }
  }

  private boolean canReachLog(SimulatedNode node) {
    return !partitioned || regionOf(node).equals(profile.zones().get(0).region());
  }

  private static String regionOf(SimulatedNode node) {
    return node.member().locality().region();
  }

  void setLogUp(boolean up) {
    logUp = up;
  }

  void setPartitioned(boolean isPartitioned) {
    partitioned = isPartitioned;
    partitionedSince = isPartitioned ? Optional.of(now) : Optional.empty();
    healedAt = isPartitioned ? Optional.empty() : Optional.of(now);
  }

  /** Partitions the regions as of a time at which the membership has already detected it. */
  void startPartitioned() {
    setPartitioned(true);
    partitionedSince = Optional.of(now.minus(FAILURE_DETECTION_DELAY));
  }

  /** Pauses a node's process; messages to it are delivered after the pause. */
  void pauseNode(int node, Duration time) {
    nodes.get(node).pauseUntil(now.plus(time));
  }

  void stopNode(int node) {
    nodes.get(node).stop();
    downSince.put(nodes.get(node).member().instance(), now);
  }

  void startNode(int node) {
    nodes.get(node).start();
    downSince.remove(nodes.get(node).member().instance());
    viewsChanged = true;
  }

  /** Gives a node a membership view that differs from the rest of its region. */
  void overrideView(int node, List<Member> view) {
    viewOverrides.put(nodes.get(node), view);
  }

  /** Replaces the member record that a node announces. */
  void announce(int node, Member member) {
    nodes.get(node).announce(member);
    viewsChanged = true;
  }

  @Override
  public void tick(Instant time) {
    now = time;
    refreshViews();
    List<Delivery> arrivingMessages = inFlight;
    inFlight = new ArrayList<>();
    for (Delivery delivery : arrivingMessages) {
      SimulatedNode receiver = byAddress.get(delivery.to());
      if (receiver.isRunning(now)) {
        receiver.receive(delivery.from().member().controlAddress(), delivery.message(), now);
      } else if (!receiver.isDown()) {
        inFlight.add(delivery);
      }
    }
    for (SimulatedNode node : nodes) {
      boolean readsLog = logUp && canReachLog(node);
      node.updateState(
          readsLog || node.snapshot().version() == 0 ? log.snapshot() : node.snapshot(),
          viewOverrides.getOrDefault(node, viewsByRegion.get(regionOf(node))));
      if (node.isRunning(now)) {
        node.tick(now);
      }
    }
  }

  private void refreshViews() {
    boolean changeDue =
        downSince.values().stream()
                .anyMatch(since -> since.plus(FAILURE_DETECTION_DELAY).equals(now))
            || partitionedSince
                .map(since -> since.plus(FAILURE_DETECTION_DELAY).equals(now))
                .orElse(false)
            || healedAt
                .map(since -> since.plus(RECOVERY_DETECTION_DELAY).equals(now))
                .orElse(false);
    if (!changeDue && !viewsChanged) {
      return;
    }
    viewsChanged = false;
    boolean partitionVisible =
        partitionedSince
                .map(since -> !now.isBefore(since.plus(FAILURE_DETECTION_DELAY)))
                .orElse(false)
            || healedAt.map(at -> now.isBefore(at.plus(RECOVERY_DETECTION_DELAY))).orElse(false);
    for (String region : nodes.stream().map(SimulatedMesh::regionOf).distinct().toList()) {
      viewsByRegion.put(
          region,
          nodes.stream()
              .filter(node -> !partitionVisible || regionOf(node).equals(region))
              .filter(this::isAliveInView)
              .map(SimulatedNode::member)
              .toList());
    }
  }

  private boolean isAliveInView(SimulatedNode node) {
    Instant since = downSince.get(node.member().instance());
    return since == null || now.isBefore(since.plus(FAILURE_DETECTION_DELAY));
  }

  @Override
  public int nodes() {
    return nodes.size();
  }

  @Override
  public boolean isUp(int node) {
    return !nodes.get(node).isDown();
  }

  @Override
  public double newVersionShare(int node) {
    SimulatedNode entryNode = nodes.get(node);
    Route route = log.route(profile.routes().get(0).route());
    for (VersionShare share : entryNode.engine().sharesOf(entryNode.snapshot(), route)) {
      if (share.version().equals(log.move().move().to())) {
        return share.share();
      }
    }
    return 0;
  }

  @Override
  public void recordCall(int node, CallOutcome outcome) {
    nodes.get(node).engine().onCallOutcome(outcome);
  }

  @Override
  public Optional<MoveOutcome> outcome() {
    return log.outcome();
  }

  @Override
  public long evidenceBytes() {
    return evidenceBytes;
  }

  /** Returns the bytes of evidence sent between the regions. */
  long crossRegionBytes() {
    return crossRegionBytes;
  }

  SimulatedNode node(int node) {
    return nodes.get(node);
  }

  SimulatedLog log() {
    return log;
  }

  Instant now() {
    return now;
  }
}
