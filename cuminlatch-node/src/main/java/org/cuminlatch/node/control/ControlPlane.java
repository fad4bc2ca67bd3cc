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
 * The control side of a node: membership, spread of configuration and moves, all on one thread.
 *
 * <p>{@link #snapshot()}, {@link #members()}, {@link #moves()} and {@link #self()} may be used by
 * any thread.
 */
public final class ControlPlane implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(ControlPlane.class);
  private static final Snapshot NOT_SERVING = Snapshot.empty();
  private static final Duration TICK = Duration.ofMillis(100);
  private static final Duration REGION_REFRESH = Duration.ofSeconds(1);
  private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);
  private static final long NANOS_PER_MICRO = 1_000;

  private final Member announced;
  private final InstantSource clock;
  private final ControlThread thread;
  private final ControlTransport transport;
  private final RefusalHistory refusals = new RefusalHistory();
  private final OtherRegionAddresses otherRegionAddresses;
  private final FloorTracker floor;
  private final ReportAppender reports;
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
      ControlThread thread,
      InstantSource clock,
      RandomGenerator random) {
    this.clock = clock;
    this.thread = thread;
    this.announced = LocalMember.of(settings, clock.instant());
    this.otherRegionAddresses = new OtherRegionAddresses(settings.locality().region());
    this.floor = new FloorTracker(log, thread, random, clock.instant());
    this.reports = new ReportAppender(log, thread);
    this.transport = bind(settings);
    ControlDecisionLog placement = new ControlDecisionLog(() -> snapshot.version());
    this.membership =
        MembershipEngine.create(
            announced,
            settings.seeds(),
            transport,
            random,
            MembershipSettings.defaults(),
            placement);
    ConfigurationReplica replica =
        ConfigurationReplicas.create(
            ConfigurationCodecs.protobuf(), settings.schemaVersions(), this::onFold);
    LogGateway gateway = new LogGateway(log, thread, clock);
    this.spread =
        SpreadEngine.create(
            announced,
            replica,
            membership,
            gateway,
            transport,
            random,
            SpreadSettings.defaults(),
            new Installer());
    gateway.setEngine(spread);
    spread.meetOnLog(membership::addSeed);
    this.moves =
        MoveEngine.create(
            settings.instance(),
            settings.locality(),
            this::snapshot,
            membership,
            transport,
            new OutcomeAppender(log, this::snapshot),
            placement,
            MoveSettings.defaults());
  }

  /**
   * Starts the control side.
   *
   * @param settings settings of the node
   * @param log client of the platform's log
   * @param clock source of time
   * @param random source of random numbers
   * @param metrics takes the gauges of the transport
   * @return the running control side
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
    Gauge<Long> cpuMicros = () -> plane.thread.cpuTime().toNanos() / NANOS_PER_MICRO;
    metrics.gauge("control.cpu-micros", () -> cpuMicros);
    plane.thread.every(TICK, plane::tick);
    plane.thread.every(REPORT_INTERVAL, plane::report);
    plane.thread.every(REGION_REFRESH, () -> plane.otherRegionAddresses.refresh(plane.membership.members()));
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
   * Returns the configuration that callers may be served with.
   *
   * @return the one in force, at version 0 while the node is below its floor
   */
  public Snapshot servingSnapshot() {
    return readiness.isReady() ? snapshot : NOT_SERVING;
  }

  /**
   * Returns the members that this node knows.
   *
   * @return a view for any thread
   */
  public MembershipView members() {
    return membership;
  }

  /**
   * Returns the moves; only the parts that its documentation allows are for any thread.
   *
   * @return the engine of the moves
   */
  public MoveEngine moves() {
    return moves;
  }

  /**
   * Returns the own member as announced.
   *
   * @return the member
   */
  public Member self() {
    return membership.member(announced.instance()).orElse(announced);
  }

  /**
   * Returns whether the node may serve, and why.
   *
   * @return the readiness
   */
  public Readiness readiness() {
    return readiness;
  }

  /**
   * Returns the lowest configuration version that the node may serve with.
   *
   * @return the floor as far as it is known
   */
  public long floorVersion() {
    return floorVersion;
  }

  /**
   * Returns the latest refused records.
   *
   * @return the refusals, oldest first
   */
  public List<RefusalHistory.Entry> refusals() {
    return refusals.entries();
  }

  /**
   * Takes what the target's health endpoint says.
   *
   * @param phase the phase of the target
   */
  public void targetIs(Phase phase) {
    thread.execute(() -> targetPhase = phase);
  }

  /** Announces that the target takes no new calls from now on. */
  public void drain() {
    thread.execute(
        () -> {
          draining = true;
          announcePhase(clock.instant());
        });
  }

  /** Tells the others that the instance leaves, then stops. */
  public void leaveAndClose() {
    thread.execute(() -> membership.leave(clock.instant()));
    close();
  }

  @Override
  public void close() {
    thread.close();
    transport.close();
  }

  private ControlTransport bind(NodeSettings settings) {
    Address listen = settings.controlListen();
    return ControlTransport.bind(
        new InetSocketAddress(listen.host(), listen.port()),
        ControlFrameCodec.of(
            settings.mesh(),
            List.of(new MembershipCodec(), new SpreadCodec(), new EvidenceCodec())),
        thread,
        this::receive,
        otherRegionAddresses);
  }

  private void receive(Address from, ControlMessage message) {
    Instant now = clock.instant();
    if (message instanceof MembershipMessage gossip) {
      membership.onMessage(from, gossip, now);
    } else if (message instanceof SpreadMessage records) {
      spread.onMessage(from, records, now);
    } else if (message instanceof EvidenceMessage evidence) {
      moves.onMessage(from, evidence, now);
    }
  }

  private void onFold(FoldEvent event) {
    refusals.onFoldEvent(event);
    reports.onFoldEvent(event, clock.instant());
  }

  private void tick() {
    Instant now = clock.instant();
    membership.onTick(now);
    spread.onTick(now);
    moves.onTick(now);
    readiness = floor.onTick(membership, snapshot.version(), now);
    floorVersion = floor.floor();
    announcePhase(now);
  }

  private void report() {
    reports.onTick(spread.isReporter(), snapshot, membership.members(), clock.instant());
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

  private final class Installer implements SpreadListener {

    @Override
    public void onInForce(Snapshot next) {
      snapshot = next;
      membership.updateConfiguration(next.version(), next.stateHash());
      LOG.info("configuration version {} in force, hash {}", next.version(), next.stateHash());
    }

    @Override
    public void onDivergence(long version, String hashes) {
      LOG.error("states differ at configuration version {}: {}", version, hashes);
    }

    @Override
    public void onRefused(String reason) {
      LOG.warn("refused: {}", reason);
    }
  }
}
