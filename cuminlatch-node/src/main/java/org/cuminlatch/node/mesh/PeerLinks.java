package org.cuminlatch.node.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.route.ColdTargets;
import org.cuminlatch.core.route.ServiceIndex;
import org.cuminlatch.core.target.ExitToken;
import org.cuminlatch.core.target.TargetExit;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.wire.call.CallChannel;
import org.cuminlatch.wire.call.CallFrameHandler;
import org.cuminlatch.wire.call.CallFrames;
import org.cuminlatch.wire.call.CallTransport;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.ConfigPull;
import org.cuminlatch.wire.proto.call.ConfigRecord;
import org.cuminlatch.wire.proto.call.Hello;
import org.cuminlatch.wire.proto.call.Ping;
import org.cuminlatch.wire.proto.call.QuotaGrants;
import org.cuminlatch.wire.proto.call.TargetPhase;
import org.cuminlatch.wire.proto.call.TargetStatus;
import org.cuminlatch.wire.proto.call.ValidityAnswer;

/**
 * Maintains the connections to the gates of all other nodes; used on the traffic loop.
 *
 * <p>A target takes calls only while the connection to its node is open and the node reports the
 * target as ready. A connection that stays silent after a ping becomes suspect and gets no more
 * attempts; if it remains silent, it is closed and opened again. Until then attempts in progress
 * are kept, as a node that is merely slow still answers them.
 */
final class PeerLinks implements CallFrameHandler {

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1000);
  private static final Duration MIN_RECONNECT_DELAY = Duration.ofMillis(100);
  private static final Duration MAX_RECONNECT_DELAY = Duration.ofSeconds(2);

  /** Silence after which a connection with attempts is probed with a ping. */
  private static final Duration BUSY_PROBE_DELAY = Duration.ofMillis(300);

  /** Silence after which a connection without attempts is probed with a ping. */
  private static final Duration IDLE_PROBE_DELAY = Duration.ofSeconds(2);

  /** Silence after which a connection to an observed node is probed with a ping. */
  private static final Duration OBSERVED_PROBE_DELAY = Duration.ofMillis(500);

  /** Further silence after which a probed connection is suspect and gets no more attempts. */
  private static final Duration SUSPECT_TIMEOUT = Duration.ofMillis(900);

  /** Further silence after which a probed connection is closed, and all attempts on it fail. */
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(3);

  /** Maximum number of targets that are remembered as leaving; the oldest are forgotten first. */
  private static final int MAX_EXCLUDED = 1024;

  private final CallTransport transport;
  private final CallFrame hello;
  private final RandomGenerator random;
  private final EventLog log;
  private final PeerListener listener;
  private final Map<Address, PeerLink> links = new HashMap<>();
  private Set<Address> knownNodes = Set.of();

  /** Known nodes that have said that they stop and have not said otherwise since. */
  private final Set<Address> stoppedNodes = new HashSet<>();

  private final Map<CallChannel, PeerLink> linkByChannel = new HashMap<>();
  private final Map<String, TargetLink> linkByInstance = new HashMap<>();
  private Optional<Member> localTarget = Optional.empty();
  private TargetLink localLink;
  private Set<String> observedNodes = Set.of();
  private final Set<TargetExit> excluded = new LinkedHashSet<>();
  private Set<String> evacuatedZones = Set.of();
  private final ColdTargets coldTargets = new ColdTargets();
  private ServiceIndex index = ServiceIndex.of(List.of());

  PeerLinks(
      CallTransport transport,
      Hello hello,
      RandomGenerator random,
      EventLog log,
      PeerListener listener) {
    this.transport = transport;
    this.hello = CallFrame.newBuilder().setHello(hello).build();
    this.random = random;
    this.log = log;
    this.listener = listener;
  }

  /** Receives what other nodes send over their connections; called on the traffic loop. */
  interface PeerListener {

    void onStatus(TargetStatus status, Address node);

    /** Called when the connection to a node is lost, which makes its last status invalid. */
    void onStatusLost(TargetStatus status);

    /** Called when the connection to a node becomes suspect, and when it is no longer. */
    void onSuspectChange(TargetStatus status, boolean suspect);

    void onEvidence(CallFrame frame);

    /** Called when a node sends the configuration that was requested from it. */
    void onConfiguration(ConfigRecord record);

    /** Called when a node answers a query about the validity of keys. */
    void onValidityAnswer(ValidityAnswer answer, String node);

    /** Called when a node grants tokens of quotas that were requested from it. */
    void onQuotaGrants(QuotaGrants grants);
  }

  /** Sets the local target, empty while it takes no requests. */
  void setLocalTarget(Optional<Member> member, TargetLink link) {
    localTarget = member;
    localLink = link;
    rebuild();
  }

  /** Sends no more calls to targets in evacuated zones. */
  void setEvacuatedZones(Set<String> zones) {
    evacuatedZones = zones;
    rebuild();
  }

  int evacuatedZones() {
    return evacuatedZones.size();
  }

  /**
   * Sends no more calls to a target that leaves. It stays excluded also if its node, which may have
   * been restarted since, reports it as ready.
   */
  void exclude(Member target) {
    if (remember(startOf(target))) {
      log.event("target-excluded").with("target", target.instance()).write();
      rebuild();
    }
  }

  private boolean remember(TargetExit exit) {
    boolean isNew = excluded.add(exit);
    if (excluded.size() > MAX_EXCLUDED) {
      excluded.remove(excluded.iterator().next());
    }
    return isNew;
  }

  private static TargetExit startOf(Member target) {
    return new TargetExit(target.instance(), target.incarnation());
  }

  /** Tells a node that the store holds the exit of its target. */
  void confirmExitStored(Address node, TargetExit exit) {
    PeerLink link = links.get(node);
    if (link != null) {
      link.send(pingWith(ExitToken.stored(exit)));
    }
  }

  /**
   * Remembers the exit of a node's target and tells it to a node that has forgotten it in a
   * restart. A ping carries that, as nodes that don't know such pings answer them like any other.
   */
  private void rememberExit(PeerLink link, TargetStatus status) {
    if (status.getInstance().isEmpty()) {
      return;
    }
    TargetExit start = new TargetExit(status.getInstance(), status.getBornMillis());
    if (status.getPhase() == TargetPhase.LEAVING) {
      remember(start);
    } else if (status.getPhase() == TargetPhase.READY && excluded.contains(start)) {
      link.send(pingWith(ExitToken.known(start)));
    }
  }

  private static CallFrame pingWith(long nonce) {
    return CallFrame.newBuilder().setPing(Ping.newBuilder().setNonce(nonce)).build();
  }

  /** Requests from a node the configuration that it has in force. */
  void pullConfiguration(String node) {
    CallFrame pull = CallFrame.newBuilder().setConfigPull(ConfigPull.getDefaultInstance()).build();
    links.values().stream()
        .filter(link -> link.status().filter(status -> status.getNode().equals(node)).isPresent())
        .forEach(link -> link.send(pull));
  }

  /** Sets the known nodes; connections to others are closed. */
  void setNodes(Set<Address> addresses) {
    for (Address address : addresses) {
      links.computeIfAbsent(address, PeerLink::new);
    }
    for (Address known : List.copyOf(links.keySet())) {
      if (!addresses.contains(known)) {
        closeLink(links.remove(known));
      }
    }
    stoppedNodes.retainAll(addresses);
    updateKnownNodes();
    check();
  }

  /** Sets the nodes whose silence must be noticed soon, also if no attempts are sent to them. */
  void setObservedNodes(Set<String> nodes) {
    observedNodes = nodes;
  }

  ServiceIndex index() {
    return index;
  }

  /** Returns the targets of the index that are cold, as their nodes have told. */
  ColdTargets coldTargets() {
    return coldTargets;
  }

  Optional<TargetLink> linkTo(String instance) {
    return Optional.ofNullable(linkByInstance.get(instance));
  }

  /** Returns the links to nodes whose status is known and that are not silent. */
  List<PeerLink> responsive() {
    return links.values().stream()
        .filter(link -> link.isOpen() && !link.isSuspect() && link.status().isPresent())
        .toList();
  }

  /**
   * Returns the addresses of all other nodes, without those that have stopped as planned; the same
   * object until they change.
   */
  Set<Address> knownNodes() {
    return knownNodes;
  }

  private void updateKnownNodes() {
    Set<Address> known = new HashSet<>(links.keySet());
    known.removeAll(stoppedNodes);
    if (!known.equals(knownNodes)) {
      knownNodes = Set.copyOf(known);
    }
  }

  /** Sends a frame to a node if it is connected. */
  void sendTo(Address node, CallFrame frame) {
    PeerLink link = links.get(node);
    if (link != null) {
      link.send(frame);
    }
  }

  int openLinks() {
    return (int) links.values().stream().filter(PeerLink::isOpen).count();
  }

  /** Opens missing connections, probes silent ones and closes those that stay silent. */
  void check() {
    for (PeerLink link : List.copyOf(links.values())) {
      if (link.mayConnect()) {
        openLink(link);
      } else if (link.isOpen()) {
        probe(link);
      }
    }
  }

  private void probe(PeerLink link) {
    Duration probeDelay = probeDelay(link);
    long silentNanos = link.silentNanos();
    boolean probed = link.nanosSincePing() < silentNanos;
    if (probed && silentNanos > probeDelay.plus(SUSPECT_TIMEOUT).toNanos() && !link.isSuspect()) {
      log.event("link-suspect").with("peer", link.address().toString()).write();
      link.markSuspect();
      link.status().ifPresent(status -> listener.onSuspectChange(status, true));
      rebuild();
    }
    if (probed && silentNanos > probeDelay.plus(CLOSE_TIMEOUT).toNanos()) {
      log.event("link-silent")
          .with("peer", link.address().toString())
          .with("silentMillis", silentNanos / 1_000_000)
          .write();
      closeLink(link);
    } else if (silentNanos > probeDelay.toNanos()
        && link.nanosSincePing() > BUSY_PROBE_DELAY.toNanos()) {
      link.onPingSent();
      link.send(CallFrame.newBuilder().setPing(Ping.getDefaultInstance()).build());
    }
  }

  private Duration probeDelay(PeerLink link) {
    if (link.hasAttempts()) {
      return BUSY_PROBE_DELAY;
    }
    boolean observed =
        link.status().filter(status -> observedNodes.contains(status.getNode())).isPresent();
    return observed ? OBSERVED_PROBE_DELAY : IDLE_PROBE_DELAY;
  }

  private void openLink(PeerLink link) {
    link.markConnecting();
    transport
        .connect(link.address(), CONNECT_TIMEOUT, this)
        .whenComplete(
            (channel, error) -> {
              if (error != null) {
                link.onConnectFailed(
                    RetryDelay.after(
                        link.failures(), MIN_RECONNECT_DELAY, MAX_RECONNECT_DELAY, random));
              } else if (links.get(link.address()) == link) {
                link.onConnected(channel);
                linkByChannel.put(channel, link);
                channel.send(hello);
              } else {
                channel.close();
              }
            });
  }

  @Override
  public void onFrame(CallChannel channel, CallFrame frame) {
    PeerLink link = linkOf(channel);
    if (link == null) {
      return;
    }
    boolean suspect = link.isSuspect();
    link.onFrameReceived();
    if (suspect) {
      link.status().ifPresent(status -> listener.onSuspectChange(status, false));
      rebuild();
    }
    switch (frame.getKindCase()) {
      case STATUS -> updateStatus(link, frame.getStatus());
      case EVIDENCE -> listener.onEvidence(frame);
      case CONFIG_RECORD -> listener.onConfiguration(frame.getConfigRecord());
      case VALIDITY_ANSWER ->
          listener.onValidityAnswer(
              frame.getValidityAnswer(), link.status().map(TargetStatus::getNode).orElse(""));
      case QUOTA_GRANTS -> listener.onQuotaGrants(frame.getQuotaGrants());
      case PONG -> {}
      default -> link.dispatch(frame, CallFrames.attempt(frame));
    }
  }

  private void updateStatus(PeerLink link, TargetStatus status) {
    final boolean same = link.status().filter(known -> sameTarget(known, status)).isPresent();
    link.setStatus(status);
    if (status.getNodeStops()
        ? stoppedNodes.add(link.address())
        : stoppedNodes.remove(link.address())) {
      updateKnownNodes();
    }
    rememberExit(link, status);
    listener.onStatus(status, link.address());
    if (same) {
      return;
    }
    log.event("peer-status")
        .with("peer", status.getNode())
        .with("target", status.getInstance())
        .with("service", status.getService())
        .with("version", status.getVersion())
        .with("phase", status.getPhase().name())
        .with("stops", String.valueOf(status.getNodeStops()))
        .write();
    rebuild();
  }

  private static boolean sameTarget(TargetStatus one, TargetStatus other) {
    return targetFields(one).equals(targetFields(other));
  }

  private static TargetStatus targetFields(TargetStatus status) {
    return status.toBuilder()
        .clearConfigVersion()
        .clearStoreLost()
        .clearZones()
        .clearStoreEra()
        .clearColdMicros()
        .clearColdPerSecond()
        .build();
  }

  @Override
  public void onClosed(CallChannel channel) {
    PeerLink link = linkOf(channel);
    linkByChannel.remove(channel);
    if (link != null) {
      log.event("link-lost").with("peer", link.address().toString()).write();
      closeLink(link);
    }
  }

  private void closeLink(PeerLink link) {
    link.status().ifPresent(listener::onStatusLost);
    link.disconnect();
    rebuild();
  }

  private PeerLink linkOf(CallChannel channel) {
    PeerLink link = linkByChannel.get(channel);
    return link != null && link.uses(channel) ? link : null;
  }

  private void rebuild() {
    linkByInstance.clear();
    List<Member> members = new ArrayList<>();
    for (PeerLink link : links.values()) {
      Optional<Member> member = link.status().flatMap(status -> toMember(status, link.address()));
      if (link.isOpen() && !link.isSuspect()) {
        member.ifPresent(target -> addMember(target, link, members));
      }
    }
    localTarget.ifPresent(target -> addMember(target, localLink, members));
    index = ServiceIndex.of(members);
  }

  private void addMember(Member target, TargetLink link, List<Member> members) {
    boolean evacuated = evacuatedZones.contains(target.locality().zone());
    if (!evacuated && !excluded.contains(startOf(target))) {
      members.add(target);
      linkByInstance.put(target.instance(), link);
    }
  }

  /** Returns the target that a status describes, empty if it takes no calls. */
  static Optional<Member> toMember(TargetStatus status, Address address) {
    if (status.getPhase() != TargetPhase.READY || status.getNodeStops()) {
      return Optional.empty();
    }
    return Optional.of(
        new Member(
            status.getInstance(),
            status.getBornMillis(),
            Member.Status.ALIVE,
            address,
            address,
            new org.cuminlatch.core.membership.Locality(status.getRegion(), status.getZone()),
            status.getService(),
            status.getVersion(),
            status.getSlots(),
            Member.Phase.SERVING,
            Set.of(),
            0,
            ""));
  }
}
