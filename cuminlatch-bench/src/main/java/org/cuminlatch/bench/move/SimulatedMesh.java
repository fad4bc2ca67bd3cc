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
 * Nodes of a service on an in-memory network and virtual time.
 *
 * <p>Messages arrive at the tick after they were sent; some are lost. Every node's clock is wrong
 * by up to two seconds. Failures of nodes and cuts show in the membership after a delay.
 */
final class SimulatedMesh implements TrafficControl {

  private static final int MAX_CLOCK_ERROR_MILLIS = 2_000;
  private static final double LOSS = 0.01;
  private static final Duration DETECTION = Duration.ofSeconds(4);
  private static final Duration HEALING = Duration.ofSeconds(2);

  private final ServiceProfile profile;
  private final RandomGenerator random;
  private final SimulatedLog log;
  private final EvidenceCodec codec = new EvidenceCodec();
  private final List<SimulatedNode> nodes = new ArrayList<>();
  private final Map<Address, SimulatedNode> byAddress = new HashMap<>();
  private final Map<String, List<Member>> views = new HashMap<>();
  private final Map<SimulatedNode, List<Member>> ownViews = new HashMap<>();
  private final Map<String, Instant> downSince = new HashMap<>();
  private List<Delivery> sent = new ArrayList<>();
  private Instant now;
  private boolean logUp = true;
  private boolean cut;
  private Optional<Instant> cutSince = Optional.empty();
  private Optional<Instant> healedAt = Optional.empty();
  private boolean viewsChanged = true;
  private long bytes;
  private long linkBytes;

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

  /** Adds a node whose target serves a version; it joins at once. */
  SimulatedNode addNode(ServiceProfile.Zone zone, String version) {
    int number = nodes.size() + 1;
    String instance = profile.service() + "-" + number;
    Member member =
        SimulatedNode.announcement(
            instance, number, zone, profile.service(), version, profile.slots());
    int error = random.nextInt(-MAX_CLOCK_ERROR_MILLIS, MAX_CLOCK_ERROR_MILLIS + 1);
    SimulatedNode[] self = new SimulatedNode[1];
    self[0] =
        new SimulatedNode(
            member,
            Duration.ofMillis(error),
            (to, message) -> send(self[0], to, message),
            outcome -> append(self[0], outcome),
            MoveSettings.defaults());
    nodes.add(self[0]);
    byAddress.put(member.controlAddress(), self[0]);
    viewsChanged = true;
    return self[0];
  }

  private void send(SimulatedNode from, Address to, ControlMessage message) {
    int length = codec.encode((EvidenceMessage) message).length;
    bytes += length;
    SimulatedNode receiver = byAddress.get(to);
    boolean crosses = !regionOf(from).equals(regionOf(receiver));
    linkBytes += crosses ? length : 0;
    if ((cut && crosses) || random.nextDouble() < LOSS) {
      return;
    }
    sent.add(new Delivery(from, to, message));
  }

  private void append(SimulatedNode node, MoveOutcome outcome) {
    if (logUp && reachesLog(node)) {
      log.append(outcome);
    }
  }

  private boolean reachesLog(SimulatedNode node) {
    return !cut || regionOf(node).equals(profile.zones().get(0).region());
  }

  private static String regionOf(SimulatedNode node) {
    return node.member().locality().region();
  }

  void setLogUp(boolean up) {
    logUp = up;
  }

  void setCut(boolean isCut) {
    cut = isCut;
    cutSince = isCut ? Optional.of(now) : Optional.empty();
    healedAt = isCut ? Optional.empty() : Optional.of(now);
  }

  /** Cuts the regions apart long enough ago for the membership to have noticed. */
  void setCutFromTheBeginning() {
    setCut(true);
    cutSince = Optional.of(now.minus(DETECTION));
  }

  /** Freezes a node's process; its messages wait. */
  void freeze(int node, Duration time) {
    nodes.get(node).freezeUntil(now.plus(time));
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

  /** Shows a node another list of members than the rest of its region sees. */
  void showView(int node, List<Member> view) {
    ownViews.put(nodes.get(node), view);
  }

  /** Replaces what a node announces of itself. */
  void announce(int node, Member member) {
    nodes.get(node).announce(member);
    viewsChanged = true;
  }

  @Override
  public void tick(Instant time) {
    now = time;
    refreshViews();
    List<Delivery> arriving = sent;
    sent = new ArrayList<>();
    for (Delivery delivery : arriving) {
      SimulatedNode receiver = byAddress.get(delivery.to());
      if (receiver.runs(now)) {
        receiver.receive(delivery.from().member().controlAddress(), delivery.message(), now);
      } else if (!receiver.isDown()) {
        sent.add(delivery);
      }
    }
    for (SimulatedNode node : nodes) {
      boolean reads = logUp && reachesLog(node);
      node.know(
          reads || node.snapshot().version() == 0 ? log.snapshot() : node.snapshot(),
          ownViews.getOrDefault(node, views.get(regionOf(node))));
      if (node.runs(now)) {
        node.tick(now);
      }
    }
  }

  private void refreshViews() {
    boolean due =
        downSince.values().stream().anyMatch(since -> since.plus(DETECTION).equals(now))
            || cutSince.map(since -> since.plus(DETECTION).equals(now)).orElse(false)
            || healedAt.map(since -> since.plus(HEALING).equals(now)).orElse(false);
    if (!due && !viewsChanged) {
      return;
    }
    viewsChanged = false;
    boolean cutShows =
        cutSince.map(since -> !now.isBefore(since.plus(DETECTION))).orElse(false)
            || healedAt.map(at -> now.isBefore(at.plus(HEALING))).orElse(false);
    for (String region : nodes.stream().map(SimulatedMesh::regionOf).distinct().toList()) {
      views.put(
          region,
          nodes.stream()
              .filter(node -> !cutShows || regionOf(node).equals(region))
              .filter(this::isBelievedAlive)
              .map(SimulatedNode::member)
              .toList());
    }
  }

  private boolean isBelievedAlive(SimulatedNode node) {
    Instant since = downSince.get(node.member().instance());
    return since == null || now.isBefore(since.plus(DETECTION));
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
  public double newShare(int node) {
    SimulatedNode entry = nodes.get(node);
    Route route = log.route(profile.routes().get(0).route());
    for (VersionShare share : entry.engine().sharesOf(entry.snapshot(), route)) {
      if (share.version().equals(log.move().move().to())) {
        return share.share();
      }
    }
    return 0;
  }

  @Override
  public void observed(int node, CallOutcome outcome) {
    nodes.get(node).engine().onCallOutcome(outcome);
  }

  @Override
  public Optional<MoveOutcome> outcome() {
    return log.outcome();
  }

  @Override
  public long bytes() {
    return bytes;
  }

  /** Returns the bytes sent between the regions. */
  long linkBytes() {
    return linkBytes;
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
