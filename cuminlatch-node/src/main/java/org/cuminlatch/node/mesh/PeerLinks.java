package org.cuminlatch.node.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.route.ServiceIndex;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.wire.call.CallChannel;
import org.cuminlatch.wire.call.CallFrameHandler;
import org.cuminlatch.wire.call.CallFrames;
import org.cuminlatch.wire.call.CallTransport;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.ConfigPull;
import org.cuminlatch.wire.proto.call.ConfigRecord;
import org.cuminlatch.wire.proto.call.Ping;
import org.cuminlatch.wire.proto.call.TargetPhase;
import org.cuminlatch.wire.proto.call.TargetStatus;

/**
 * Connections to the gates of all other nodes; used on the traffic loop.
 *
 * <p>A target is offered for calls only while the connection to its node is open and the node says
 * over it that the target is ready. Over a connection on which nothing comes although it was probed
 * no more attempts are sent; later it is given up and opened anew. Attempts under way are not given
 * up before, as a node that is merely slow still answers them.
 */
final class PeerLinks implements CallFrameHandler {

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1000);
  private static final Duration FIRST_REDIAL = Duration.ofMillis(100);
  private static final Duration LONGEST_REDIAL = Duration.ofSeconds(2);

  /** Silence after which a connection with attempts is probed. */
  private static final Duration PROBE_BUSY = Duration.ofMillis(300);

  /** Silence after which a connection without attempts is probed. */
  private static final Duration PROBE_IDLE = Duration.ofSeconds(2);

  /** Silence after a probe with which no more attempts are sent over a connection. */
  private static final Duration SUSPECT = Duration.ofMillis(900);

  /** Silence with which a connection is given up, with all attempts on it. */
  private static final Duration GIVE_UP = Duration.ofSeconds(3);

  private final CallTransport transport;
  private final RandomGenerator random;
  private final EventLog log;
  private final StatusListener listener;
  private final Map<Address, PeerLink> links = new HashMap<>();
  private final Map<CallChannel, PeerLink> linkByChannel = new HashMap<>();
  private final Map<String, TargetLink> linkByInstance = new HashMap<>();
  private Optional<Member> local = Optional.empty();
  private TargetLink localLink;
  private ServiceIndex index = ServiceIndex.of(List.of());

  PeerLinks(
      CallTransport transport, RandomGenerator random, EventLog log, StatusListener listener) {
    this.transport = transport;
    this.random = random;
    this.log = log;
    this.listener = listener;
  }

  /** Takes what nodes say of themselves over their connections. */
  interface StatusListener {

    void changed(TargetStatus status);

    /** The connection to a node is lost, and with it what the node said. */
    void lost(TargetStatus status);

    void evidence(CallFrame frame);

    /** A node has sent the configuration that it was asked for. */
    void configuration(ConfigRecord record);
  }

  /** Sets the target beside this node, empty while it takes no requests. */
  void local(Optional<Member> member, TargetLink link) {
    local = member;
    localLink = link;
    rebuild();
  }

  /** Asks a node for the configuration that it has in force. */
  void pullConfiguration(String node) {
    CallFrame pull = CallFrame.newBuilder().setConfigPull(ConfigPull.getDefaultInstance()).build();
    links.values().stream()
        .filter(link -> link.status().filter(status -> status.getNode().equals(node)).isPresent())
        .forEach(link -> link.send(pull));
  }

  /** Sets the nodes that are known; connections to others are closed. */
  void nodes(Set<Address> addresses) {
    for (Address address : addresses) {
      links.computeIfAbsent(address, PeerLink::new);
    }
    for (Address known : List.copyOf(links.keySet())) {
      if (!addresses.contains(known)) {
        drop(links.remove(known));
      }
    }
    check();
  }

  ServiceIndex index() {
    return index;
  }

  Optional<TargetLink> linkTo(String instance) {
    return Optional.ofNullable(linkByInstance.get(instance));
  }

  int openLinks() {
    return (int) links.values().stream().filter(PeerLink::isOpen).count();
  }

  /** Opens what is missing, probes what is silent and gives up what stays so. */
  void check() {
    for (PeerLink link : List.copyOf(links.values())) {
      if (link.mayDial()) {
        dial(link);
      } else if (link.isOpen()) {
        probe(link);
      }
    }
  }

  private void probe(PeerLink link) {
    Duration limit = link.hasAttempts() ? PROBE_BUSY : PROBE_IDLE;
    long silent = link.silentNanos();
    boolean probed = link.nanosSincePing() < silent;
    if (probed && silent > limit.plus(SUSPECT).toNanos() && !link.isSuspect()) {
      log.event("link-suspect").with("peer", link.address().toString()).write();
      link.suspect();
      rebuild();
    }
    if (probed && silent > limit.plus(GIVE_UP).toNanos()) {
      log.event("link-silent")
          .with("peer", link.address().toString())
          .with("silentMillis", silent / 1_000_000)
          .write();
      drop(link);
    } else if (silent > limit.toNanos() && link.nanosSincePing() > PROBE_BUSY.toNanos()) {
      link.pinged();
      link.send(CallFrame.newBuilder().setPing(Ping.getDefaultInstance()).build());
    }
  }

  private void dial(PeerLink link) {
    link.dialling();
    transport
        .connect(link.address(), CONNECT_TIMEOUT, this)
        .whenComplete(
            (channel, error) -> {
              if (error != null) {
                link.notOpened(
                    RetryDelay.after(link.failures(), FIRST_REDIAL, LONGEST_REDIAL, random));
              } else if (links.get(link.address()) == link) {
                link.opened(channel);
                linkByChannel.put(channel, link);
              } else {
                channel.close();
              }
            });
  }

  @Override
  public void onFrame(CallChannel channel, CallFrame frame) {
    PeerLink link = linkOver(channel);
    if (link == null) {
      return;
    }
    boolean suspect = link.isSuspect();
    link.heard();
    if (suspect) {
      rebuild();
    }
    switch (frame.getKindCase()) {
      case STATUS -> statusChanged(link, frame.getStatus());
      case EVIDENCE -> listener.evidence(frame);
      case CONFIG_RECORD -> listener.configuration(frame.getConfigRecord());
      case PONG -> {}
      default -> link.received(frame, CallFrames.attempt(frame));
    }
  }

  private void statusChanged(PeerLink link, TargetStatus status) {
    boolean same = link.status().filter(known -> sameTarget(known, status)).isPresent();
    link.status(status);
    listener.changed(status);
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
    return ofTarget(one).equals(ofTarget(other));
  }

  private static TargetStatus ofTarget(TargetStatus status) {
    return status.toBuilder().clearConfigVersion().clearStoreLost().build();
  }

  @Override
  public void onClosed(CallChannel channel) {
    PeerLink link = linkOver(channel);
    linkByChannel.remove(channel);
    if (link != null) {
      log.event("link-lost").with("peer", link.address().toString()).write();
      drop(link);
    }
  }

  private void drop(PeerLink link) {
    link.status().ifPresent(listener::lost);
    link.lost();
    rebuild();
  }

  private PeerLink linkOver(CallChannel channel) {
    PeerLink link = linkByChannel.get(channel);
    return link != null && link.isOver(channel) ? link : null;
  }

  private void rebuild() {
    linkByInstance.clear();
    List<Member> members = new ArrayList<>();
    for (PeerLink link : links.values()) {
      Optional<Member> member = link.status().flatMap(status -> member(status, link.address()));
      if (link.isOpen() && !link.isSuspect() && member.isPresent()) {
        members.add(member.get());
        linkByInstance.put(member.get().instance(), link);
      }
    }
    if (local.isPresent()) {
      members.add(local.get());
      linkByInstance.put(local.get().instance(), localLink);
    }
    index = ServiceIndex.of(members);
  }

  /** Returns the target that a status describes, empty if it takes no calls. */
  static Optional<Member> member(TargetStatus status, Address address) {
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
