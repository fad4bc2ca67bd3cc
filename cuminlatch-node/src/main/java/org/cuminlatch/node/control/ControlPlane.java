package org.cuminlatch.node.control;

import static org.cuminlatch.core.Preconditions.notNull;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cuminlatch.core.config.ConfigurationReplica;
import org.cuminlatch.core.config.ConfigurationReplicas;
import org.cuminlatch.core.config.FoldEvent;
import org.cuminlatch.core.config.Readiness;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.control.ControlMessage;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.membership.Member.Phase;
import org.cuminlatch.core.membership.MembershipEngine;
import org.cuminlatch.core.membership.MembershipMessage;
import org.cuminlatch.core.membership.MembershipSettings;
import org.cuminlatch.core.membership.MembershipView;
import org.cuminlatch.core.move.EvidenceMessage;
import org.cuminlatch.core.move.MoveEngine;
import org.cuminlatch.core.move.MoveSettings;
import org.cuminlatch.core.spread.SpreadEngine;
import org.cuminlatch.core.spread.SpreadListener;
import org.cuminlatch.core.spread.SpreadMessage;
import org.cuminlatch.core.spread.SpreadSettings;
import org.cuminlatch.node.settings.NodeSettings;
import org.cuminlatch.wire.config.ConfigurationCodecs;
import org.cuminlatch.wire.control.ControlFrameCodec;
import org.cuminlatch.wire.control.ControlTransport;
import org.cuminlatch.wire.control.MembershipCodec;
import org.cuminlatch.wire.control.SpreadCodec;
import org.cuminlatch.wire.log.LogClient;
import org.cuminlatch.wire.move.EvidenceCodec;

/**
 * The control plane of a node: membership, distribution of the configuration and moves, all on one
 * thread.
 *
 * <p>{@link #snapshot()}, {@link #members()}, {@link #moves()} and {@link #self()} are safe to call
 * from any thread.
 */
public final class ControlPlane implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(ControlPlane.class);
  private static final Snapshot EMPTY_SNAPSHOT = Snapshot.empty();
  private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
  private static final Duration REGION_REFRESH_INTERVAL = Duration.ofSeconds(1);
  private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);
  private static final long NANOS_PER_MICRO = 1_000;

  private final Member localMember;
  private final InstantSource clock;
  private final ControlThread controlThread;
  private final ControlTransport transport;
  private final RefusalHistory refusals = new RefusalHistory();
  private final OtherRegionAddresses otherRegionAddresses;
  private final FloorTracker floorTracker;
  private final ReportAppender reportAppender;
  private final MembershipEngine membership;
  private final SpreadEngine spread;
  private final MoveEngine moves;
  private volatile Snapshot snapshot = Snapshot.empty();
  private volatile Readiness readiness = new Readiness(false, "starting");
  private volatile long floorVersion;
  private Phase targetPhase = Phase.STARTING;
  private boolean draining;

  private ControlPlane(
      NodeSettings settings,
      LogClient log,
      ControlThread controlThread,
      InstantSource clock,
      RandomGenerator random) {
    this.clock = clock;
    this.controlThread = controlThread;
    this.localMember = LocalMember.of(settings, clock.instant());
    this.otherRegionAddresses = new OtherRegionAddresses(settings.locality().region());
    this.floorTracker = new FloorTracker(log, controlThread, random, clock.instant());
    this.reportAppender = new ReportAppender(log, controlThread);
    this.transport = bind(settings);
    ControlDecisionLog decisionLog = new ControlDecisionLog(() -> snapshot.version());
    this.membership =
        MembershipEngine.create(
            localMember,
            settings.seeds(),
            transport,
            random,
            MembershipSettings.defaults(),
            decisionLog);
    ConfigurationReplica replica =
        ConfigurationReplicas.create(
            ConfigurationCodecs.protobuf(), settings.schemaVersions(), this::onFold);
    LogGateway gateway = new LogGateway(log, controlThread, clock);
    this.spread =
        SpreadEngine.create(
            localMember,
            replica,
            membership,
            gateway,
            transport,
            random,
            SpreadSettings.defaults(),
            new SpreadEventHandler());
    gateway.setEngine(spread);
    spread.enableLogRendezvous(membership::addSeed);
    this.moves =
        MoveEngine.create(
            settings.instance(),
            settings.locality(),
            this::snapshot,
            membership,
            transport,
            new OutcomeAppender(log, this::snapshot),
            decisionLog,
            MoveSettings.defaults());
  }

  /**
   * Starts the control plane.
   *
   * @param settings settings of the node
   * @param log client of the platform's log
   * @param clock source of the current time
   * @param random source of random numbers
   * @param metrics registry for the gauges of the transport and the control thread
   * @return the running control plane
   */
  public static ControlPlane start(
      NodeSettings settings,
      LogClient log,
      InstantSource clock,
      RandomGenerator random,
      MetricRegistry metrics) {
    notNull(settings, "settings");
    ControlPlane plane = new ControlPlane(settings, log, ControlThread.start(), clock, random);
    TransportMetrics.register(metrics, plane.transport.counters());
    Gauge<Long> cpuMicros = () -> plane.controlThread.cpuTime().toNanos() / NANOS_PER_MICRO;
    metrics.gauge("control.cpu-micros", () -> cpuMicros);
    plane.controlThread.scheduleWithFixedDelay(TICK_INTERVAL, plane::tick);
    plane.controlThread.scheduleWithFixedDelay(REPORT_INTERVAL, plane::report);
    plane.controlThread.scheduleWithFixedDelay(
        REGION_REFRESH_INTERVAL,
        () -> plane.otherRegionAddresses.refresh(plane.membership.members()));
    return plane;
  }

  /**
   * Returns the configuration in force.
   *
   * @return an immutable snapshot
   */
  public Snapshot snapshot() {
    return snapshot;
  }

  /**
   * Returns the configuration for routing calls.
   *
   * @return the configuration in force, or the empty one at version 0 while the node is not ready,
   *     that is while its version is below the floor or the floor is unknown
   */
  public Snapshot servingSnapshot() {
    return readiness.isReady() ? snapshot : EMPTY_SNAPSHOT;
  }

  /**
   * Returns the members of the mesh known to this node.
   *
   * @return a thread-safe view
   */
  public MembershipView members() {
    return membership;
  }

  /**
   * Returns the move engine; only the methods documented as thread-safe may be called from any
   * thread.
   *
   * @return the move engine
   */
  public MoveEngine moves() {
    return moves;
  }

  /**
   * Returns the member entry of this node as currently announced.
   *
   * @return the member
   */
  public Member self() {
    return membership.member(localMember.instance()).orElse(localMember);
  }

  /**
   * Returns whether the node may serve, with the reason.
   *
   * @return the readiness
   */
  public Readiness readiness() {
    return readiness;
  }

  /**
   * Returns the lowest configuration version that the node may serve with.
   *
   * @return the floor as far as it has been determined
   */
  public long floorVersion() {
    return floorVersion;
  }

  /**
   * Returns the most recently refused records.
   *
   * @return the refusals, oldest first
   */
  public List<RefusalHistory.Entry> refusals() {
    return refusals.entries();
  }

  /**
   * Updates the phase of the local target as reported by its health endpoint.
   *
   * @param phase the phase of the target
   */
  public void updateTargetPhase(Phase phase) {
    controlThread.execute(() -> targetPhase = phase);
  }

  /** Announces to the mesh that the target accepts no new calls from now on. */
  public void drain() {
    controlThread.execute(
        () -> {
          draining = true;
          announcePhase(clock.instant());
        });
  }

  /** Announces to the other members that the instance leaves the mesh, then stops. */
  public void leaveAndClose() {
    controlThread.execute(() -> membership.leave(clock.instant()));
    close();
  }

  @Override
  public void close() {
    controlThread.close();
    transport.close();
  }

  private ControlTransport bind(NodeSettings settings) {
    Address listen = settings.controlListen();
    return ControlTransport.bind(
        new InetSocketAddress(listen.host(), listen.port()),
        ControlFrameCodec.of(
            settings.mesh(),
            List.of(new MembershipCodec(), new SpreadCodec(), new EvidenceCodec())),
        controlThread,
        this::receive,
        otherRegionAddresses);
  }

  private void receive(Address from, ControlMessage message) {
    Instant now = clock.instant();
    if (message instanceof MembershipMessage membershipMessage) {
      membership.onMessage(from, membershipMessage, now);
    } else if (message instanceof SpreadMessage spreadMessage) {
      spread.onMessage(from, spreadMessage, now);
    } else if (message instanceof EvidenceMessage evidenceMessage) {
      moves.onMessage(from, evidenceMessage, now);
    }
  }

  private void onFold(FoldEvent event) {
    refusals.onFoldEvent(event);
    reportAppender.onFoldEvent(event, clock.instant());
  }

  private void tick() {
    Instant now = clock.instant();
    membership.onTick(now);
    spread.onTick(now);
    moves.onTick(now);
    readiness = floorTracker.onTick(membership, snapshot.version(), now);
    floorVersion = floorTracker.floor();
    announcePhase(now);
  }

  private void report() {
    reportAppender.onTick(spread.isReporter(), snapshot, membership.members(), clock.instant());
  }

  private void announcePhase(Instant now) {
    membership.updatePhase(phase(), now);
  }

  private Phase phase() {
    if (draining) {
      return Phase.DRAINING;
    }
    return readiness.isReady() ? targetPhase : Phase.STARTING;
  }

  private final class SpreadEventHandler implements SpreadListener {

    @Override
    public void onInForce(Snapshot next) {
      snapshot = next;
      membership.updateConfiguration(next.version(), next.stateHash());
      LOG.info(
          "configuration version {} is in force; state hash {}", next.version(), next.stateHash());
    }

    @Override
    public void onDivergence(long version, String hashes) {
      LOG.error(
          "members hold different state hashes at configuration version {}: {}", version, hashes);
    }

    @Override
    public void onRefused(String reason) {
      LOG.warn("refused configuration data: {}", reason);
    }
  }
}
