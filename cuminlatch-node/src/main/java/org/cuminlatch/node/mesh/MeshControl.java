package org.cuminlatch.node.mesh;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.ObjLongConsumer;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.config.ConfigurationPullSchedule;
import org.cuminlatch.core.config.ServiceSettings;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Locality.Distance;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.move.CallOutcome.Result;
import org.cuminlatch.core.route.RouteTable;
import org.cuminlatch.core.spread.ZoneReaderSelection;
import org.cuminlatch.core.target.ColdState;
import org.cuminlatch.core.target.TargetReport;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.mesh.KeyedStore.Item;
import org.cuminlatch.node.mesh.KeyedStore.Page;
import org.cuminlatch.node.mesh.KeyedStore.Stream;
import org.cuminlatch.wire.proto.call.Begin;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.ConfigRecord;
import org.cuminlatch.wire.proto.call.Hello;
import org.cuminlatch.wire.proto.call.MoveEvidence;
import org.cuminlatch.wire.proto.call.MoveFact;
import org.cuminlatch.wire.proto.call.QuotaGrants;
import org.cuminlatch.wire.proto.call.QuotaRequest;
import org.cuminlatch.wire.proto.call.TargetStatus;
import org.cuminlatch.wire.proto.call.ValidityAnswer;
import org.cuminlatch.wire.proto.call.ValidityQuery;

/**
 * Maintains the control state of a node: the configuration in force, the other nodes and the local
 * target.
 *
 * <p>State is changed on the control loop only. The traffic loop reads routing state as one
 * immutable view; changes to the gate and to the links run as tasks on the traffic loop.
 */
final class MeshControl {

  /**
   * Time for which the store may hold a read until the configuration changes. A connection that has
   * gone silent is noticed only after it, and the change must be in force on all nodes soon after.
   */
  private static final Duration CONFIGURATION_WAIT_TIMEOUT = Duration.ofMillis(1500);

  /** Time for which the store may hold a read for a new node; others connect to it meanwhile. */
  private static final Duration NODES_WAIT_TIMEOUT = Duration.ofSeconds(25);

  /**
   * Delay of the second read if there is no configuration yet, so that all nodes start. By then,
   * most know that another one reads for their zone.
   */
  private static final Duration CONFIGURATION_FIRST_DELAY = Duration.ofMillis(2500);

  /** Delay of the second read of the first node that starts, as others start with it. */
  private static final Duration NODES_FIRST_DELAY = Duration.ofMillis(1000);

  /** Delay before the next read, in which changes of the configuration accumulate. */
  private static final Duration CONFIGURATION_BATCH_DELAY = Duration.ofMillis(400);

  /** Delay before the next read, in which addresses of new nodes accumulate. */
  private static final Duration NODES_BATCH_DELAY = Duration.ofMillis(2500);

  /** Bounds the age of the configuration of a node that can read the store again. */
  private static final Duration CONFIGURATION_MAX_RETRY_DELAY = Duration.ofMillis(1600);

  /** Longer than that of the configuration, as new nodes also connect to the known ones. */
  private static final Duration NODES_MAX_RETRY_DELAY = Duration.ofSeconds(5);

  private static final Duration MOVE_TICK_INTERVAL = Duration.ofMillis(400);

  /** Interval of the check whether another node has a newer configuration. */
  private static final Duration PULL_CHECK_INTERVAL = Duration.ofMillis(150);

  /** Delay before a new version is published, in which further versions accumulate. */
  private static final Duration VERSION_BATCH_DELAY = Duration.ofMillis(250);

  /** Period of the evidence of targets of old versions, in ticks of the moves. */
  private static final int OLD_VERSION_EVIDENCE_TICKS = 2;

  private final MeshSettings settings;
  private final EventLoop control;
  private final EventLoop traffic;
  private final RandomGenerator random;
  private final EventLog log;
  private final KeyedStore store;
  private final OperatorRecordCodec recordCodec;
  private final StoreEraControl eras;
  private final NodeDirectory nodes;
  private final LocalTarget target;
  private final ExitRelay exitRelay;
  private final MoveControl moves;
  private final EvacuationControl evacuations;
  private final ColdTargetControl coldTarget;
  private final Map<String, TargetStatus> peerStatuses = new HashMap<>();

  /** Nodes whose connections are silent, so that they may have ended. */
  private final Set<String> suspectNodes = new HashSet<>();

  private Set<String> observedNodes = Set.of();
  private final EvidenceCounts evidence = new EvidenceCounts();
  private volatile Optional<ConfigRecordCodec.LazyFrame> recordInForce = Optional.empty();
  private final ConfigurationPullSchedule pullSchedule = new ConfigurationPullSchedule();
  private boolean versionUpdateScheduled;
  private final Set<Stream> lostStreams = EnumSet.noneOf(Stream.class);
  private int evidenceTicks;
  private volatile Instant coldUntil = Instant.MIN;
  private volatile boolean movesActive;
  private volatile List<MoveFact> moveFacts = List.of();
  private final InstantSource clock;
  private SlotGate gate;
  private PeerLinks links;
  private LocalLink localLink;
  private KeyProofs keyProofs;
  private QuotaControl quotas;
  private StoreFollower operatorFollower;
  private StoreFollower nodeFollower;
  private volatile RoutingView view = RoutingView.EMPTY;
  private volatile boolean stopping;
  private volatile TargetStatus status;
  private TargetStatus sentStatus;

  MeshControl(
      MeshSettings settings,
      EventLoop control,
      EventLoop traffic,
      InstantSource clock,
      long seed,
      EventLog log,
      KeyedStore store,
      OperatorRecordCodec recordCodec) {
    this.settings = settings;
    this.control = control;
    this.traffic = traffic;
    this.clock = clock;
    this.random = new SplittableRandom(seed);
    this.log = log;
    this.store = store;
    this.recordCodec = recordCodec;
    this.status = TargetStatus.getDefaultInstance();
    this.sentStatus = status;
    this.eras = new StoreEraControl(control, clock, random, log);
    this.target =
        new LocalTarget(settings.peers().toString(), control, store, eras, log, gateControl());
    this.nodes =
        new NodeDirectory(
            settings.peers(),
            settings.node(),
            control,
            store,
            eras,
            log,
            peerStatuses::containsKey,
            known -> traffic.execute(() -> links.setNodes(known)));
    this.exitRelay =
        new ExitRelay(
            settings.node(),
            control,
            store,
            eras,
            random,
            log,
            (node, exit) -> traffic.execute(() -> links.confirmExitStored(node, exit)));
    this.moves =
        new MoveControl(
            settings.node(),
            control,
            clock,
            store,
            eras,
            recordCodec,
            log,
            this::allStatuses,
            rules -> view = view.withRules(rules));
    this.evacuations =
        new EvacuationControl(clock, log, recordCodec, this::readsForZone, evacuationListener());
    this.coldTarget = new ColdTargetControl(settings.service(), clock, log, coldTargetListener());
  }

  private EvacuationControl.Listener evacuationListener() {
    return new EvacuationControl.Listener() {
      @Override
      public void onEvacuatedZones(Set<String> zones) {
        boolean evacuated = zones.contains(settings.locality().zone());
        coldTarget.setEvacuated(evacuated);
        traffic.execute(
            () -> {
              links.setEvacuatedZones(zones);
              gate.setEvacuated(evacuated);
            });
      }

      @Override
      public void onStatusChange() {
        status = describe();
      }

      @Override
      public void tellAll() {
        sendStatus();
      }
    };
  }

  /** Returns what this node knows of the era of the store. */
  StoreEraControl eras() {
    return eras;
  }

  private ColdTargetControl.Listener coldTargetListener() {
    return new ColdTargetControl.Listener() {
      @Override
      public void onStateChange(ColdState state) {
        traffic.execute(() -> gate.setCold(state));
      }

      @Override
      public void onStatusChange() {
        status = describe();
      }

      @Override
      public void tellAll() {
        publishStatus();
      }
    };
  }

  /** Returns the handler of the local target's reports. */
  TargetReportHandler reportHandler() {
    return target;
  }

  private LocalTarget.GateControl gateControl() {
    return new LocalTarget.GateControl() {
      @Override
      public CompletableFuture<Void> open(TargetReport report) {
        coldUntil = clock.instant().plus(report.coldLeft().orElse(Duration.ZERO));
        coldTarget.onReport(report);
        publishStatus();
        return onTraffic(
            () -> {
              gate.open(report);
              gate.markReachable();
            });
      }

      @Override
      public CompletableFuture<Void> targetReachable(TargetReport report) {
        report
            .coldLeft()
            .filter(left -> !left.isZero())
            .ifPresent(left -> coldUntil = clock.instant().plus(left));
        coldTarget.onReport(report);
        return onTraffic(gate::markReachable);
      }

      @Override
      public CompletableFuture<Void> close() {
        coldTarget.onLeave();
        publishStatus();
        return onTraffic(gate::close);
      }

      @Override
      public void announceExitWrites(boolean possible) {
        updateLostStreams(Stream.OWN_TARGETS, !possible);
      }
    };
  }

  private Map<String, TargetStatus> allStatuses() {
    Map<String, TargetStatus> all = new HashMap<>(peerStatuses);
    all.put(settings.node(), status);
    return all;
  }

  void connect(
      SlotGate slotGate,
      PeerLinks peerLinks,
      LocalLink link,
      KeyProofs proofs,
      QuotaControl quotaControl) {
    gate = slotGate;
    keyProofs = proofs;
    quotas = quotaControl;
    links = peerLinks;
    localLink = link;
    status = describe();
    sentStatus = status;
  }

  void start() {
    eras.listen(this::onStoreReturned);
    store.listenForEra(eras::onStoreEra);
    control.execute(
        () -> {
          target.readStored();
          operatorFollower =
              newFollower(
                  operatorSubscription(), this::onStoredOperatorRecord, keyProofs::onStoreRead);
          operatorFollower.start();
          nodeFollower =
              newFollower(
                  nodeSubscription(), nodes::onRecord, (page, askedAt) -> nodes.onPageRead());
          nodeFollower.start();
        });
    control.scheduleWithFixedDelay(
        this::checkPeers,
        PULL_CHECK_INTERVAL.toMillis(),
        PULL_CHECK_INTERVAL.toMillis(),
        TimeUnit.MILLISECONDS);
    control.scheduleWithFixedDelay(
        this::tickMoves,
        MOVE_TICK_INTERVAL.toMillis(),
        MOVE_TICK_INTERVAL.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  /**
   * Reads the streams anew and writes again what the store may have lost. Other nodes are told by
   * the nodes that read the store for their zone, as with other changes.
   */
  private void onStoreReturned() {
    operatorFollower.restart();
    nodeFollower.restart();
    keyProofs
        .onStoreReturned()
        .ifPresent(
            delay ->
                control.schedule(this::readForFirstProof, delay.toMillis(), TimeUnit.MILLISECONDS));
    moves.onStoreReturned();
    nodes.onStoreReturned();
    target.onStoreReturned();
    exitRelay.onStoreReturned(
        node -> peerStatuses.containsKey(node) && !peerStatuses.get(node).getStoreLost());
    eras.spread(this::writeExitsOfOthers);
    if (readsForZone()) {
      publishStatus();
    } else {
      status = describe();
    }
  }

  private void readForFirstProof() {
    if (readsForZone()) {
      readOperatorRecords();
    }
  }

  RoutingView view() {
    return view;
  }

  boolean isReady() {
    return view.table().isPresent() && !stopping;
  }

  /** Removes the address of this node from the store; completes when the store has answered. */
  CompletableFuture<Void> unregister() {
    return CompletableFuture.supplyAsync(nodes::unregister, control)
        .thenCompose(CompletionStage::toCompletableFuture);
  }

  void announceStop() {
    control.execute(
        () -> {
          stopping = true;
          publishStatus();
        });
  }

  private StoreFollower.Subscription operatorSubscription() {
    return new StoreFollower.Subscription(
        Stream.OPERATOR,
        configurationWait(),
        CONFIGURATION_FIRST_DELAY,
        CONFIGURATION_BATCH_DELAY,
        settings.revocationBound().isPresent(),
        CONFIGURATION_MAX_RETRY_DELAY,
        this::readsForZone);
  }

  /**
   * Returns a shorter wait if keys must be refused sooner, as a read proves what held before it.
   */
  private Duration configurationWait() {
    Duration longest =
        settings
            .revocationBound()
            .map(bound -> bound.multipliedBy(3).dividedBy(10))
            .orElse(CONFIGURATION_WAIT_TIMEOUT);
    return longest.compareTo(CONFIGURATION_WAIT_TIMEOUT) < 0 ? longest : CONFIGURATION_WAIT_TIMEOUT;
  }

  private StoreFollower.Subscription nodeSubscription() {
    return new StoreFollower.Subscription(
        Stream.NODES,
        NODES_WAIT_TIMEOUT,
        NODES_FIRST_DELAY,
        NODES_BATCH_DELAY,
        false,
        NODES_MAX_RETRY_DELAY,
        this::readsForZone);
  }

  private StoreFollower newFollower(
      StoreFollower.Subscription subscription,
      ObjLongConsumer<Item> itemConsumer,
      BiConsumer<Page, Duration> afterPage) {
    StoreFollower.ItemListener listener =
        new StoreFollower.ItemListener() {
          @Override
          public void onItem(Item item, long era) {
            itemConsumer.accept(item, era);
          }

          @Override
          public void onNewestRead(Page page) {
            if (subscription.stream() == Stream.OPERATOR) {
              evacuations.onNewestRead(page);
            }
          }

          @Override
          public void onPageRead(Page page, Duration askedAt) {
            eras.onStoreEra(page.eraOrNone());
            afterPage.accept(page, askedAt);
          }

          @Override
          public void onStoreChange(boolean lost) {
            MeshControl.this.updateLostStreams(subscription.stream(), lost);
          }
        };
    return new StoreFollower(
        control, store, subscription, random, log, keyProofs.clock(), listener);
  }

  /** Reads the operators' records once, unless the store is known to be lost. */
  void readOperatorRecords() {
    control.execute(
        () -> {
          if (lostStreams.isEmpty()) {
            operatorFollower.readNow();
          }
        });
  }

  private void updateLostStreams(Stream stream, boolean lost) {
    if (lost) {
      lostStreams.add(stream);
    } else {
      lostStreams.remove(stream);
    }
    publishStatus();
    writeExitsOfOthers();
  }

  /** Returns whether this node reads the operators' records for its zone. */
  private boolean readsForZone() {
    return ZoneReaderSelection.isReader(settings.node(), otherReaders(), suspectNodes);
  }

  /** Returns the other nodes of this zone that can read the store. */
  private List<String> otherReaders() {
    return peerStatuses.values().stream()
        .filter(this::isInOwnZone)
        .filter(peer -> !peer.getStoreLost() && !peer.getNodeStops())
        .map(TargetStatus::getNode)
        .toList();
  }

  private void updateObservedNodes() {
    Set<String> observed = ZoneReaderSelection.observedNodes(otherReaders());
    if (!observed.equals(observedNodes)) {
      observedNodes = observed;
      traffic.execute(() -> links.setObservedNodes(observed));
    }
  }

  private void onPeerStatus(TargetStatus peer, Address node) {
    peerStatuses.put(peer.getNode(), peer);
    eras.onPeerEra(peer.getStoreEra(), peer.getNode());
    evacuations.onStatus(peer);
    updateObservedNodes();
    exitRelay.onStatus(peer, node);
    writeExitsOfOthers();
  }

  private void writeExitsOfOthers() {
    List<String> otherWriters =
        peerStatuses.values().stream()
            .filter(other -> !other.getStoreLost() && !other.getNodeStops())
            .map(TargetStatus::getNode)
            .toList();
    exitRelay.writeWaiting(lostStreams.isEmpty(), otherWriters);
  }

  private void onPeerStatusLost(TargetStatus peer) {
    peerStatuses.remove(peer.getNode(), peer);
    suspectNodes.remove(peer.getNode());
    updateObservedNodes();
    exitRelay.onStatusLost(peer.getNode());
    writeExitsOfOthers();
  }

  private void tickMoves() {
    try {
      if (movesActive || moves.isActive()) {
        moves.tick();
        moveFacts = moves.moveFacts();
        movesActive = moves.isActive();
        evidenceTicks++;
        // once the last statement is written, the other nodes need not read it
        if (evidenceTicks % evidencePeriodTicks() == 0 || !movesActive) {
          traffic.execute(this::sendEvidence);
        }
      }
    } catch (RuntimeException error) {
      log.event("task-failed").with("task", "moves").with("reason", String.valueOf(error)).write();
    }
  }

  /** Returns a longer period for targets of old versions: they only serve for comparison. */
  private int evidencePeriodTicks() {
    return moves.isNewVersion(status.getService(), status.getVersion())
        ? 1
        : OLD_VERSION_EVIDENCE_TICKS;
  }

  /** Sends the local target's counts to all connected nodes and to the own control loop. */
  private void sendEvidence() {
    CallFrame frame = evidenceFrame();
    gate.broadcast(frame);
    control.execute(() -> moves.onEvidence(frame.getEvidence()));
  }

  private CallFrame evidenceFrame() {
    TargetStatus own = status;
    return CallFrame.newBuilder()
        .setEvidence(
            MoveEvidence.newBuilder()
                .setInstance(own.getInstance().isEmpty() ? settings.node() : own.getInstance())
                .setService(own.getService())
                .setVersion(own.getVersion())
                .addAllCounts(evidence.encode())
                .addAllMoves(moveFacts))
        .build();
  }

  private void onPeerRecord(ConfigRecord record) {
    Optional<Item> item = ConfigRecordCodec.decode(record);
    if (item.isPresent()) {
      onOperatorRecord(item.get());
    } else {
      log.event("record-ignored").with("key", record.getKey()).with("reason", "size").write();
    }
  }

  private void onStoredOperatorRecord(Item item, long era) {
    if (evacuations.onRecord(item, era)) {
      return;
    }
    Optional<OperatorRecordCodec.Decoded> decoded = onOperatorRecord(item);
    decoded
        .flatMap(OperatorRecordCodec.Decoded::configuration)
        .ifPresent(snapshot -> keyProofs.onStoredVersion(snapshot.version()));
    decoded
        .flatMap(OperatorRecordCodec.Decoded::order)
        .ifPresent(order -> moves.onStoredOrder(order, era));
  }

  /** Applies a configuration from the store or another node, which sends nothing else. */
  private Optional<OperatorRecordCodec.Decoded> onOperatorRecord(Item item) {
    Optional<OperatorRecordCodec.Decoded> decoded = recordCodec.decode(item);
    if (decoded.isEmpty()) {
      log.event("record-ignored").with("key", item.key()).with("offset", item.offset()).write();
      return decoded;
    }
    decoded.get().configuration().ifPresent(snapshot -> applyConfiguration(snapshot, item));
    return decoded;
  }

  private void applyConfiguration(Snapshot snapshot, Item item) {
    if (snapshot.version() <= view.version()) {
      return;
    }
    recordInForce = Optional.of(new ConfigRecordCodec.LazyFrame(item));
    RouteTable table = RouteTable.of(snapshot);
    view = view.withTable(table);
    coldTarget.onConfiguration(snapshot);
    ServiceSettings service = snapshot.settingsOf(settings.service());
    Optional<String> checkPath = service.coldStart().flatMap(cold -> service.healthPath());
    traffic.execute(() -> gate.setCheckPath(checkPath));
    log.event("configuration")
        .with("version", snapshot.version())
        .with("routes", snapshot.routes().size())
        .write();
    // what nodes that connect are told; a restarted one may have read an older copy of the store
    status = describe();
    if (!versionUpdateScheduled && readsForZone()) {
      versionUpdateScheduled = true;
      control.schedule(
          () -> {
            versionUpdateScheduled = false;
            publishStatus();
          },
          VERSION_BATCH_DELAY.toMillis(),
          TimeUnit.MILLISECONDS);
    }
  }

  private void checkPeers() {
    if (peerStatuses.values().stream().anyMatch(this::confirmsEra)) {
      eras.recordContact();
    }
    evacuations.tick();
    coldTarget.tick();
    pullIfBehind();
  }

  /** Returns whether a connected node can read the store and knows of no later era. */
  private boolean confirmsEra(TargetStatus peer) {
    return !peer.getStoreLost()
        && peer.getStoreEra() == eras.latest()
        && !suspectNodes.contains(peer.getNode());
  }

  /** Requests a configuration that the store has not delivered from the nearest node with it. */
  private void pullIfBehind() {
    long own = view.version();
    Optional<TargetStatus> newer =
        peerStatuses.values().stream()
            .filter(peer -> peer.getConfigVersion() > own)
            .min(Comparator.comparing(this::distance));
    long version = newer.map(TargetStatus::getConfigVersion).orElse(own);
    if (pullSchedule.shouldPull(own, version, clock.instant())) {
      log.event("configuration-pulled")
          .with("peer", newer.get().getNode())
          .with("version", version)
          .with("own", own)
          .write();
      traffic.execute(() -> links.pullConfiguration(newer.get().getNode()));
    }
  }

  private Distance distance(TargetStatus peer) {
    return settings.locality().distanceTo(new Locality(peer.getRegion(), peer.getZone()));
  }

  private boolean isInOwnZone(TargetStatus peer) {
    return distance(peer) == Distance.SAME_ZONE;
  }

  private CompletableFuture<Void> onTraffic(Runnable task) {
    return CompletableFuture.runAsync(task, traffic);
  }

  private TargetStatus describe() {
    TargetStatus.Builder built =
        TargetStatus.newBuilder()
            .setNode(settings.node())
            .setRegion(settings.locality().region())
            .setZone(settings.locality().zone())
            .setNodeStops(stopping)
            .setConfigVersion(view.version())
            .setStoreLost(!lostStreams.isEmpty())
            .setStoreEra(eras.latest());
    evacuations.describe(built);
    target.describe(built, !gate.isAbsent());
    coldTarget.describe(built);
    return built.build();
  }

  /** Publishes the status of node and target to the traffic loop and all connected nodes. */
  private void publishStatus() {
    status = describe();
    if (!status.equals(sentStatus)) {
      sendStatus();
    }
  }

  private void sendStatus() {
    TargetStatus described = status;
    sentStatus = described;
    traffic.execute(
        () -> {
          // a stopping node still sends calls of its own callers to its local target
          TargetStatus own = described.toBuilder().setNodeStops(false).build();
          Optional<Member> member = PeerLinks.toMember(own, settings.peers());
          links.setLocalTarget(member, localLink);
          ColdTargetControl.record(own, links.coldTargets(), clock.instant());
          gate.broadcast(CallFrame.newBuilder().setStatus(described).build());
        });
  }

  SlotGate.GateCallback gateCallback() {
    return new SlotGate.GateCallback() {
      @Override
      public void onReachabilityChange() {
        control.execute(MeshControl.this::publishStatus);
      }

      @Override
      public void onExecutionEnd(Begin begin, Result result, Duration took) {
        boolean warm = !clock.instant().isBefore(coldUntil);
        evidence.add(begin.getRoute(), result, took, warm);
      }

      @Override
      public void onTargetLeaves(TargetReport leaving) {
        control.execute(() -> target.onLeavingAnswer(leaving));
      }

      @Override
      public void onColdLeft(Duration coldLeft) {
        control.execute(() -> coldTarget.onHealthAnswer(coldLeft));
      }

      @Override
      public void onExitConfirmed(long token, String peer) {
        control.execute(() -> target.onExitConfirmed(token, peer));
      }

      @Override
      public void onHello(Hello hello) {
        control.execute(() -> nodes.onHello(hello));
      }

      @Override
      public void onTargetReplaced() {
        evidence.clear();
      }

      @Override
      public Optional<CallFrame> configurationFrame() {
        return recordInForce.map(ConfigRecordCodec.LazyFrame::frame);
      }

      @Override
      public Optional<CallFrame> moveEvidenceFrame() {
        return moveFacts.isEmpty() ? Optional.empty() : Optional.of(evidenceFrame());
      }

      @Override
      public Optional<CallFrame> validityAnswer(ValidityQuery query) {
        return keyProofs.answer(query);
      }

      @Override
      public Optional<CallFrame> quotaGrants(QuotaRequest request) {
        return quotas.answer(request);
      }

      @Override
      public TargetStatus targetStatus() {
        return status;
      }
    };
  }

  PeerLinks.PeerListener peerListener() {
    return new PeerLinks.PeerListener() {
      @Override
      public void onStatus(TargetStatus peer, Address node) {
        ColdTargetControl.record(peer, links.coldTargets(), clock.instant());
        control.execute(() -> onPeerStatus(peer, node));
      }

      @Override
      public void onStatusLost(TargetStatus peer) {
        control.execute(() -> onPeerStatusLost(peer));
      }

      @Override
      public void onSuspectChange(TargetStatus peer, boolean suspect) {
        control.execute(
            () -> {
              if (suspect) {
                suspectNodes.add(peer.getNode());
              } else {
                suspectNodes.remove(peer.getNode());
              }
            });
      }

      @Override
      public void onConfiguration(ConfigRecord record) {
        control.execute(() -> onPeerRecord(record));
      }

      @Override
      public void onValidityAnswer(ValidityAnswer answer, String node) {
        keyProofs.onAnswer(answer, node);
      }

      @Override
      public void onQuotaGrants(QuotaGrants grants) {
        quotas.onGrants(grants);
      }

      @Override
      public void onEvidence(CallFrame frame) {
        control.execute(() -> moves.onEvidence(frame.getEvidence()));
      }
    };
  }
}
