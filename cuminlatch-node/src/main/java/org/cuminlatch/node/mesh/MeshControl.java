package org.cuminlatch.node.mesh;

import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
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
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.config.CatchUp;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Locality.Distance;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.move.CallOutcome.Result;
import org.cuminlatch.core.route.RouteTable;
import org.cuminlatch.core.spread.ZoneReaderSelection;
import org.cuminlatch.core.target.TargetReport;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.mesh.KeyedStore.Item;
import org.cuminlatch.node.mesh.KeyedStore.Stream;
import org.cuminlatch.wire.proto.call.Begin;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.ConfigRecord;
import org.cuminlatch.wire.proto.call.MoveEvidence;
import org.cuminlatch.wire.proto.call.MoveFact;
import org.cuminlatch.wire.proto.call.TargetStatus;

/**
 * What the node believes of the configuration, of the other nodes and of the target beside it.
 *
 * <p>State is changed on the control loop only; the traffic gets it as one immutable view, and what
 * concerns gate and links as tasks for its own loop.
 */
final class MeshControl {

  /** Longest wait of the store for a change of the configuration. */
  private static final Duration CONFIGURATION_WAIT = Duration.ofSeconds(8);

  /** Longest wait of the store for a new node; the other nodes connect to it meanwhile. */
  private static final Duration NODES_WAIT = Duration.ofSeconds(25);

  /** Time in which changes of the configuration gather before the next wait for one. */
  private static final Duration CONFIGURATION_PAUSE = Duration.ofMillis(400);

  /** Time in which new nodes gather before the next wait for one. */
  private static final Duration NODES_PAUSE = Duration.ofMillis(1000);

  private static final Duration MOVE_TICK = Duration.ofMillis(400);

  /** Time between two looks at whether others have a newer configuration. */
  private static final Duration PULL_CHECK = Duration.ofMillis(150);

  /** Time in which configuration versions gather before other nodes are told. */
  private static final Duration VERSION_PAUSE = Duration.ofMillis(250);

  private static final int OLD_EVIDENCE_TICKS = 2;

  private static final Duration REGISTER_RETRY = Duration.ofMillis(500);

  private final MeshSettings settings;
  private final EventLoop control;
  private final EventLoop traffic;
  private final RandomGenerator random;
  private final EventLog log;
  private final KeyedStore store;
  private final OperatorRecords records;
  private final Set<Address> nodes = new HashSet<>();
  private final OwnTarget target;
  private final MoveControl moves;
  private final Map<String, TargetStatus> peerStatuses = new HashMap<>();
  private final EvidenceCounts evidence = new EvidenceCounts();
  private volatile Optional<RecordFrames.Lazy> inForce = Optional.empty();
  private final CatchUp catchUp = new CatchUp();
  private boolean versionToPublish;
  private final Set<Stream> lostStreams = EnumSet.noneOf(Stream.class);
  private boolean registered;
  private int evidenceTicks;
  private volatile Instant coldUntil = Instant.MIN;
  private volatile boolean movesActive;
  private volatile List<MoveFact> facts = List.of();
  private final InstantSource clock;
  private SlotGate gate;
  private PeerLinks links;
  private LocalLink localLink;
  private volatile MeshView view = MeshView.EMPTY;
  private volatile boolean stopping;
  private volatile TargetStatus status;

  MeshControl(
      MeshSettings settings,
      EventLoop control,
      EventLoop traffic,
      InstantSource clock,
      long seed,
      EventLog log,
      KeyedStore store,
      OperatorRecords records) {
    this.settings = settings;
    this.control = control;
    this.traffic = traffic;
    this.clock = clock;
    this.random = new SplittableRandom(seed);
    this.log = log;
    this.store = store;
    this.records = records;
    this.status = TargetStatus.getDefaultInstance();
    this.target = new OwnTarget(settings.peers().toString(), control, store, log, gateControl());
    this.moves =
        new MoveControl(
            settings.node(),
            control,
            clock,
            store,
            records,
            log,
            this::allStatuses,
            rules -> view = view.withRules(rules));
  }

  /** Returns who takes the reports of the target beside the node. */
  TargetReports reports() {
    return target;
  }

  private OwnTarget.GateControl gateControl() {
    return new OwnTarget.GateControl() {
      @Override
      public CompletableFuture<Void> open(TargetReport report) {
        coldUntil = clock.instant().plus(report.coldLeft());
        publishTarget();
        return onTraffic(
            () -> {
              gate.open(report);
              gate.targetHeard();
            });
      }

      @Override
      public CompletableFuture<Void> heard() {
        return onTraffic(gate::targetHeard);
      }

      @Override
      public CompletableFuture<Void> shut() {
        publishTarget();
        return onTraffic(gate::shut);
      }
    };
  }

  private Map<String, TargetStatus> allStatuses() {
    Map<String, TargetStatus> all = new HashMap<>(peerStatuses);
    all.put(settings.node(), status);
    return all;
  }

  void connect(SlotGate slotGate, PeerLinks peerLinks, LocalLink link) {
    gate = slotGate;
    links = peerLinks;
    localLink = link;
    status = describe();
  }

  void start() {
    control.execute(
        () -> {
          target.read();
          moves.readStatements();
          follow(operatorRecords(), this::operatorRecord, () -> {}).start();
          follow(nodeAddresses(), this::nodeRecord, this::nodesChanged).start();
        });
    control.scheduleWithFixedDelay(
        this::pullIfBehind, PULL_CHECK.toMillis(), PULL_CHECK.toMillis(), TimeUnit.MILLISECONDS);
    control.scheduleWithFixedDelay(
        this::tickMoves, MOVE_TICK.toMillis(), MOVE_TICK.toMillis(), TimeUnit.MILLISECONDS);
  }

  MeshView view() {
    return view;
  }

  boolean isReady() {
    return view.table().isPresent() && !stopping;
  }

  void stopping() {
    control.execute(
        () -> {
          stopping = true;
          publishTarget();
        });
  }

  private StoreFollower.Following operatorRecords() {
    return new StoreFollower.Following(
        Stream.OPERATOR, CONFIGURATION_WAIT, CONFIGURATION_PAUSE, this::readsForZone);
  }

  private StoreFollower.Following nodeAddresses() {
    return new StoreFollower.Following(Stream.NODES, NODES_WAIT, NODES_PAUSE, () -> true);
  }

  private StoreFollower follow(
      StoreFollower.Following following, Consumer<Item> taker, Runnable afterPage) {
    StoreFollower.ItemListener listener =
        new StoreFollower.ItemListener() {
          @Override
          public void item(Item item) {
            taker.accept(item);
          }

          @Override
          public void caughtUp() {
            afterPage.run();
          }

          @Override
          public void storeChanged(boolean lost) {
            MeshControl.this.storeChanged(following.stream(), lost);
          }
        };
    return new StoreFollower(control, store, following, random, log, listener);
  }

  private void storeChanged(Stream stream, boolean lost) {
    if (lost) {
      lostStreams.add(stream);
    } else {
      lostStreams.remove(stream);
    }
    publishTarget();
  }

  /** Returns whether this node reads the operators' records for its zone. */
  private boolean readsForZone() {
    List<String> others =
        peerStatuses.values().stream()
            .filter(this::isNear)
            .filter(peer -> !peer.getStoreLost() && !peer.getNodeStops())
            .map(TargetStatus::getNode)
            .toList();
    return ZoneReaderSelection.isReader(settings.node(), others);
  }

  private void tickMoves() {
    try {
      if (movesActive || moves.isActive()) {
        moves.tick();
        facts = moves.facts();
        movesActive = moves.isActive();
        evidenceTicks++;
        if (evidenceTicks % ticksBetweenEvidence() == 0) {
          traffic.execute(this::shareEvidence);
        }
      }
    } catch (RuntimeException error) {
      log.event("task-failed").with("task", "moves").with("reason", String.valueOf(error)).write();
    }
  }

  /** Returns more for the targets of old versions: their counts only serve for comparison. */
  private int ticksBetweenEvidence() {
    return moves.isNew(status.getService(), status.getVersion()) ? 1 : OLD_EVIDENCE_TICKS;
  }

  /** Tells all connected nodes, and the own control thread, what was counted here. */
  private void shareEvidence() {
    CallFrame frame = evidenceFrame();
    gate.broadcast(frame);
    control.execute(() -> moves.evidence(frame.getEvidence()));
  }

  private CallFrame evidenceFrame() {
    TargetStatus own = status;
    return CallFrame.newBuilder()
        .setEvidence(
            MoveEvidence.newBuilder()
                .setInstance(own.getInstance().isEmpty() ? settings.node() : own.getInstance())
                .setService(own.getService())
                .setVersion(own.getVersion())
                .addAllCounts(evidence.frames())
                .addAllMoves(facts))
        .build();
  }

  private void peerRecord(ConfigRecord record) {
    Optional<Item> item = RecordFrames.item(record);
    if (item.isPresent()) {
      operatorRecord(item.get());
    } else {
      log.event("record-ignored").with("key", record.getKey()).with("reason", "size").write();
    }
  }

  private void operatorRecord(Item item) {
    Optional<OperatorRecords.Decoded> decoded = records.decode(item);
    if (decoded.isEmpty()) {
      log.event("record-ignored").with("key", item.key()).with("offset", item.offset()).write();
      return;
    }
    decoded.get().configuration().ifPresent(snapshot -> configuration(snapshot, item));
    decoded.get().order().ifPresent(moves::ordered);
  }

  private void configuration(Snapshot snapshot, Item item) {
    if (snapshot.version() <= view.version()) {
      return;
    }
    inForce = Optional.of(new RecordFrames.Lazy(item));
    RouteTable table = RouteTable.of(snapshot);
    view = view.withTable(table);
    log.event("configuration")
        .with("version", snapshot.version())
        .with("routes", snapshot.routes().size())
        .write();
    if (!versionToPublish && readsForZone()) {
      versionToPublish = true;
      control.schedule(
          () -> {
            versionToPublish = false;
            publishTarget();
          },
          VERSION_PAUSE.toMillis(),
          TimeUnit.MILLISECONDS);
    }
  }

  /** Asks the nearest node that has one for a configuration that the store has not delivered. */
  private void pullIfBehind() {
    long own = view.version();
    Optional<TargetStatus> newer =
        peerStatuses.values().stream()
            .filter(peer -> peer.getConfigVersion() > own)
            .min(Comparator.comparing(this::distance));
    long version = newer.map(TargetStatus::getConfigVersion).orElse(own);
    if (catchUp.mayAsk(own, version, clock.instant())) {
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

  private boolean isNear(TargetStatus peer) {
    return distance(peer) == Distance.SAME_ZONE;
  }

  private void nodeRecord(Item item) {
    Address address = Address.parse(item.key());
    if (address.equals(settings.peers())) {
      registered = item.value().length > 0;
    } else if (item.value().length == 0) {
      nodes.remove(address);
    } else {
      nodes.add(address);
    }
  }

  private void nodesChanged() {
    if (!registered) {
      registered = true;
      register();
    }
    Set<Address> known = Set.copyOf(nodes);
    traffic.execute(() -> links.nodes(known));
  }

  /** Enters the node's address; it stays the same over restarts, so that once is enough. */
  private void register() {
    store
        .append(
            Stream.NODES,
            settings.peers().toString(),
            settings.node().getBytes(StandardCharsets.UTF_8),
            OptionalLong.empty())
        .whenComplete(
            (end, error) -> {
              if (error != null) {
                control.schedule(this::register, REGISTER_RETRY.toMillis(), TimeUnit.MILLISECONDS);
              }
            });
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
            .setStoreLost(!lostStreams.isEmpty());
    return target.describe(built, !gate.isAbsent()).build();
  }

  /** Tells the traffic and all connected nodes what the node says of its target. */
  private void publishTarget() {
    TargetStatus described = describe();
    if (described.equals(status)) {
      return;
    }
    status = described;
    traffic.execute(
        () -> {
          // a node that stops goes on to use its own target for its own callers
          TargetStatus own = described.toBuilder().setNodeStops(false).build();
          Optional<Member> member = PeerLinks.member(own, settings.peers());
          links.local(member, localLink);
          gate.broadcast(CallFrame.newBuilder().setStatus(described).build());
        });
  }

  SlotGate.GateListener gateListener() {
    return new SlotGate.GateListener() {
      @Override
      public void reachabilityChanged() {
        control.execute(MeshControl.this::publishTarget);
      }

      @Override
      public void ended(Begin begin, Result result, Duration took) {
        boolean warm = !clock.instant().isBefore(coldUntil);
        evidence.add(begin.getRoute(), result, took, warm);
      }

      @Override
      public void targetReplaced() {
        evidence.clear();
      }

      @Override
      public Optional<CallFrame> configuration() {
        return inForce.map(RecordFrames.Lazy::frame);
      }

      @Override
      public Optional<CallFrame> knownMoves() {
        return facts.isEmpty() ? Optional.empty() : Optional.of(evidenceFrame());
      }

      @Override
      public TargetStatus status() {
        return status;
      }
    };
  }

  PeerLinks.StatusListener statusListener() {
    return new PeerLinks.StatusListener() {
      @Override
      public void changed(TargetStatus peer) {
        control.execute(() -> peerStatuses.put(peer.getNode(), peer));
      }

      @Override
      public void lost(TargetStatus peer) {
        control.execute(() -> peerStatuses.remove(peer.getNode(), peer));
      }

      @Override
      public void configuration(ConfigRecord record) {
        control.execute(() -> peerRecord(record));
      }

      @Override
      public void evidence(CallFrame frame) {
        control.execute(() -> moves.evidence(frame.getEvidence()));
      }
    };
  }
}
