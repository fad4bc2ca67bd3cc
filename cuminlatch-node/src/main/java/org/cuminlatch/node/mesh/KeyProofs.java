package org.cuminlatch.node.mesh;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.cuminlatch.core.account.Inquiry;
import org.cuminlatch.core.account.Inquiry.Source;
import org.cuminlatch.core.account.InquiryPeers;
import org.cuminlatch.core.account.InquiryPeers.Peer;
import org.cuminlatch.core.account.InquirySchedule;
import org.cuminlatch.core.account.KeyValidity;
import org.cuminlatch.core.account.KeyValidity.Proof;
import org.cuminlatch.core.account.StoreReadProofs;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.mesh.KeyedStore.Page;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.TargetStatus;
import org.cuminlatch.wire.proto.call.ValidityAnswer;
import org.cuminlatch.wire.proto.call.ValidityQuery;

/**
 * Obtains proofs that the configuration in force is the newest one, and tells whether requests with
 * keys may be accepted; see {@link KeyValidity}. Used on the traffic loop, except for what follows
 * the store.
 *
 * <p>A node counts the age of a proof from the time at which it sent its question, so that a frame
 * or a response that was held up does not count as recent. Without a bound in the settings, all
 * requests may be accepted and nothing is asked.
 */
final class KeyProofs {

  /** Reason of the refusals in logs and metrics. */
  static final String REFUSAL = "validity of keys unknown";

  /** Number of queries whose answers count; at most four are sent each second. */
  private static final int MAX_QUERIES = 32;

  private final EventLoop traffic;
  private final PeerLinks links;
  private final Supplier<RoutingView> view;
  private final Runnable storeRead;
  private final EventLog log;
  private final MeshMetrics metrics;
  private final Peer self;
  private final Optional<KeyValidity> validity;
  private final Supplier<Duration> clock;

  /** Times at which queries were sent, by their nonces. */
  private final Map<Long, Duration> queries =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Duration> eldest) {
          return size() > MAX_QUERIES;
        }
      };

  private long lastNonce;
  private boolean lost;

  /** Node that has told of the newest version, empty if none has. */
  private String newestAt = "";

  /** What this process has read from the store; used on the control loop. */
  private final StoreReadProofs storeProofs = new StoreReadProofs();

  KeyProofs(
      MeshSettings settings,
      EventLoop traffic,
      PeerLinks links,
      Supplier<RoutingView> view,
      Runnable storeRead,
      EventLog log,
      MeshMetrics metrics) {
    this.traffic = traffic;
    this.links = links;
    this.view = view;
    this.storeRead = storeRead;
    this.log = log;
    this.metrics = metrics;
    this.self = new Peer(settings.node(), settings.locality(), true);
    this.validity = settings.revocationBound().map(KeyValidity::new);
    this.clock = validity.isPresent() ? new ElapsedClock() : () -> Duration.ZERO;
  }

  /** Returns the clock of the proofs, which any thread may use. */
  Supplier<Duration> clock() {
    return clock;
  }

  /** Returns whether requests may be accepted by the keys of a configuration. */
  boolean cover(RoutingView current) {
    if (validity.isEmpty() || !hasAccounts(current)) {
      return true;
    }
    Duration now = clock.get();
    if (validity.get().accepts(current.version(), now)) {
      return true;
    }
    inquire(validity.get(), current.version(), now);
    return false;
  }

  private static boolean hasAccounts(RoutingView current) {
    return current.table().filter(table -> !table.accounts().isEmpty()).isPresent();
  }

  /**
   * Reads the clocks and sends the queries that are due; called at short intervals, as a suspension
   * and a step of the time of day must not come between the same two readings.
   */
  void tick() {
    if (validity.isEmpty()) {
      return;
    }
    Duration now = clock.get();
    RoutingView current = view.get();
    if (!hasAccounts(current)) {
      return;
    }
    logChange(validity.get(), current.version(), now);
    if (validity.get().shouldPull(current.version(), now)) {
      log.event("configuration-pulled")
          .with("peer", newestAt)
          .with("version", validity.get().latestProof().map(Proof::version).orElse(0L))
          .with("own", current.version())
          .write();
      links.pullConfiguration(newestAt);
    }
    inquire(validity.get(), current.version(), now);
  }

  private void logChange(KeyValidity known, long version, Duration now) {
    boolean nowLost = !known.accepts(version, now);
    if (nowLost != lost) {
      lost = nowLost;
      log.event(lost ? "key-validity-lost" : "key-validity-regained")
          .with("version", version)
          .with("ageMillis", known.age(version, now).map(Duration::toMillis).orElse(-1L))
          .write();
    }
  }

  private void inquire(KeyValidity known, long version, Duration now) {
    for (Inquiry inquiry : known.dueInquiries(version, now, this::role)) {
      if (inquiry.source() == Source.STORE) {
        storeRead.run();
      } else if (!ask(inquiry, now)) {
        known.markUnavailable(inquiry.source());
        continue;
      }
      metrics.countInquiry(inquiry.source().name().toLowerCase(Locale.ROOT));
    }
  }

  private InquirySchedule.Role role() {
    return InquiryPeers.role(self, peers(links.responsive()));
  }

  /** Sends a query to the nodes that an inquiry names; returns false if there are none. */
  private boolean ask(Inquiry inquiry, Duration now) {
    List<PeerLink> open = links.responsive();
    List<String> asked = InquiryPeers.toAsk(inquiry, self.locality(), peers(open));
    if (asked.isEmpty()) {
      return false;
    }
    lastNonce++;
    queries.put(lastNonce, now);
    CallFrame frame =
        CallFrame.newBuilder()
            .setValidityQuery(ValidityQuery.newBuilder().setNonce(lastNonce))
            .build();
    open.stream()
        .filter(link -> link.status().filter(peer -> asked.contains(peer.getNode())).isPresent())
        .forEach(link -> link.send(frame));
    return true;
  }

  private static List<Peer> peers(List<PeerLink> open) {
    List<Peer> peers = new ArrayList<>(open.size());
    for (PeerLink link : open) {
      TargetStatus status = link.status().orElseThrow();
      peers.add(
          new Peer(
              status.getNode(),
              new Locality(status.getRegion(), status.getZone()),
              !status.getStoreLost() && !status.getNodeStops()));
    }
    return peers;
  }

  /** Returns the answer to another node's query, empty if this node has no proof. */
  Optional<CallFrame> answer(ValidityQuery query) {
    return validity
        .flatMap(KeyValidity::latestProof)
        .map(
            proof ->
                CallFrame.newBuilder()
                    .setValidityAnswer(
                        ValidityAnswer.newBuilder()
                            .setNonce(query.getNonce())
                            .setVersion(proof.version())
                            .setAgeMicros(microsRoundedUp(clock.get().minus(proof.provenAt()))))
                    .build());
  }

  private static long microsRoundedUp(Duration age) {
    return age.toNanos() / 1000 + 1;
  }

  /** Handles the answer of another node; late answers count with the time since their query. */
  void onAnswer(ValidityAnswer answer, String node) {
    Duration askedAt = queries.get(answer.getNonce());
    if (validity.isEmpty() || askedAt == null || answer.getAgeMicros() < 0) {
      return;
    }
    long inForce = view.get().version();
    if (answer.getVersion() > inForce) {
      newestAt = node;
    }
    Duration provenAt = askedAt.minus(Duration.ofNanos(answer.getAgeMicros() * 1000));
    validity.get().record(new Proof(answer.getVersion(), provenAt), inForce);
  }

  /** Handles a configuration that was read from the store; called on the control loop. */
  void onStoredVersion(long version) {
    storeProofs.recordVersion(version);
  }

  /**
   * Handles the return of the store from an older copy; called on the control loop.
   *
   * @return the time after which a reader must read the store for the first proof that counts;
   *     empty if keys need no proofs
   */
  Optional<Duration> onStoreReturned() {
    storeProofs.recordReturn(clock.get());
    return validity.map(known -> StoreReadProofs.REWRITE_PERIOD);
  }

  /**
   * Handles the end of a read of the operators' records; called on the control loop after they have
   * been applied. It proves what was the newest version when the read began: a response that was
   * awaited may have been decided at any time since.
   */
  void onStoreRead(Page page, Duration askedAt) {
    if (validity.isPresent() && page.isComplete()) {
      storeProofs
          .prove(askedAt)
          .ifPresent(
              proof -> traffic.execute(() -> validity.get().record(proof, view.get().version())));
    }
  }

  /** Returns the age of the proof for the configuration in force in seconds, -1 without one. */
  double ageSeconds() {
    Duration now = clock.get();
    return validity
        .flatMap(known -> known.age(view.get().version(), now))
        .map(age -> age.toMillis() / 1000.0)
        .orElse(-1.0);
  }
}
