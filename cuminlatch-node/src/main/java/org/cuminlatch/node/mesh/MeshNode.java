package org.cuminlatch.node.mesh;

import static org.cuminlatch.core.Preconditions.notNull;

import com.codahale.metrics.Gauge;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.admission.LagLimit;
import org.cuminlatch.core.admission.StopAdmission;
import org.cuminlatch.core.config.CallerLimits;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.http.BodyBudget;
import org.cuminlatch.node.http.ExchangeHandler;
import org.cuminlatch.node.http.HttpClient;
import org.cuminlatch.node.http.HttpServer;
import org.cuminlatch.node.http.ServerExchange;
import org.cuminlatch.node.http.ServerLimits;
import org.cuminlatch.wire.call.CallTransport;
import org.cuminlatch.wire.proto.call.Hello;

/**
 * Runs a node on an operator's platform, with traffic on one event loop and control state on
 * another.
 */
public final class MeshNode implements AutoCloseable {

  private static final Duration TARGET_CONNECT_TIMEOUT = Duration.ofMillis(400);
  private static final int MAX_ANSWER_BYTES = 16 << 20;

  /** A third of the heap that deploy/system.toml gives to a node. */
  private static final int MAX_BUFFERED_ANSWER_BYTES = 32 << 20;

  /**
   * Connections to each of the addresses for readiness, reports and metrics. Their clients are the
   * platform and the local target, with a few connections each.
   */
  private static final int MAX_CONTROL_CONNECTIONS = 64;

  private static final Duration SWEEP_INTERVAL = Duration.ofMillis(50);
  private static final Duration LINK_CHECK_INTERVAL = Duration.ofMillis(250);

  /**
   * Time after the request to stop for which the node keeps running even if it is idle, so that
   * callers can see that it is not ready.
   */
  private static final Duration STOP_NOTICE_PERIOD = Duration.ofMillis(3200);

  /** A part of the time that a stop leaves before the process is killed. */
  private static final Duration UNREGISTER_TIMEOUT = Duration.ofMillis(400);

  private static final long CLOSE_TIMEOUT_MILLIS = 500;

  /** With a period of 0, an event loop that is running tasks can end with its channels open. */
  private static final long CLOSE_QUIET_PERIOD_MILLIS = 1;

  private final MeshSettings settings;
  private final MonotonicClock clock = new MonotonicClock();
  private final EventLoopGroup trafficGroup;
  private final EventLoopGroup controlGroup;
  private final EventLoop traffic;
  private final EventLog log;
  private final MeshMetrics metrics = new MeshMetrics();
  private final BodyBudget bodyBudget = BodyBudget.ofHeap(Runtime.getRuntime().maxMemory());
  private final LoopLag lag = new LoopLag(SWEEP_INTERVAL);
  private final MeshControl control;
  private final EntryHandler entry;
  private final SlotGate gate;
  private final PeerLinks links;
  private final HttpServer callers;
  private boolean behind;

  private MeshNode(
      MeshSettings settings,
      Platform platform,
      EventLoopGroup trafficGroup,
      EventLoopGroup controlGroup) {
    this.settings = settings;
    this.trafficGroup = trafficGroup;
    this.controlGroup = controlGroup;
    this.traffic = (EventLoop) trafficGroup.next();
    RandomGenerator random = new SplittableRandom(System.nanoTime() ^ settings.node().hashCode());
    this.log = EventLog.start(clock, settings.node());
    HttpClient targetClient =
        new HttpClient(
            trafficGroup,
            settings.target(),
            clock,
            TARGET_CONNECT_TIMEOUT,
            MAX_ANSWER_BYTES,
            MAX_BUFFERED_ANSWER_BYTES);
    this.control =
        new MeshControl(
            settings,
            (EventLoop) controlGroup.next(),
            traffic,
            clock,
            random.nextLong(),
            log,
            platform.store(controlGroup, metrics, log),
            platform.recordCodec());
    this.gate =
        new SlotGate(
            traffic,
            targetClient,
            clock,
            settings.headers(),
            lag,
            log,
            metrics,
            control.gateCallback());
    CallTransport transport = CallTransport.withGroup(trafficGroup);
    this.links = new PeerLinks(transport, hello(settings), random, log, control.peerListener());
    KeyProofs keyProofs =
        new KeyProofs(
            settings, traffic, links, control::view, control::readOperatorRecords, log, metrics);
    QuotaControl quotas =
        new QuotaControl(settings.peers(), traffic, links, control::view, log, metrics);
    this.entry =
        new EntryHandler(
            traffic,
            settings,
            clock,
            random,
            links,
            new CallOrigins(gate::runsUntil),
            control::view,
            keyProofs,
            quotas,
            lag,
            log,
            metrics);
    control.connect(gate, links, new LocalLink(traffic, gate), keyProofs, quotas);
    this.callers =
        HttpServer.listen(
            trafficGroup,
            socketAddress(settings.callers()),
            configuredLimits(),
            serverLimits(DescriptorLimit.ofProcess().maxCallers()),
            log,
            entry);
    transport.listen(socketAddress(settings.peers()), gate);
    ExchangeHandler reportEndpoint = platform.reportEndpoint(control.reportHandler(), log);
    listenOnControl(settings.control(), reportEndpoint);
    listenOnControl(settings.ready(), withoutBodies(this::serveReadiness));
    listenOnControl(settings.metrics(), withoutBodies(this::serveMetrics));
    addGauges();
    gauge("key_proof_age_seconds", keyProofs::ageSeconds);
    quotas.addGauges(metrics.registry());
    repeat(
        SWEEP_INTERVAL,
        () -> {
          lag.tick();
          logLagChange();
          gate.sweep();
          keyProofs.tick();
          quotas.tick();
        });
    repeat(LINK_CHECK_INTERVAL, links::check);
    control.start();
  }

  private void listenOnControl(Address address, ExchangeHandler handler) {
    HttpServer.listen(
        controlGroup,
        socketAddress(address),
        defaultLimits(),
        serverLimits(MAX_CONTROL_CONNECTIONS),
        log,
        handler);
  }

  private ServerLimits serverLimits(int maxConnections) {
    return ServerLimits.of(bodyBudget, maxConnections, metrics::countLimit);
  }

  /** Returns a handler of requests whose bodies are not kept. */
  private static ExchangeHandler withoutBodies(Consumer<ServerExchange> handler) {
    return new ExchangeHandler() {
      @Override
      public void handle(ServerExchange exchange) {
        handler.accept(exchange);
      }

      @Override
      public boolean ignoresBodies() {
        return true;
      }
    };
  }

  /** Supplies the parts of a node that depend on the operators' platform. */
  public interface Platform {

    /**
     * Creates the client of the store.
     *
     * @param group event loop group of the control thread
     * @param metrics metrics that record the client's calls
     * @param log log of the client's connections
     * @return the client
     */
    KeyedStore store(EventLoopGroup group, MeshMetrics metrics, EventLog log);

    /**
     * Returns the codec of the operators' records.
     *
     * @return the codec
     */
    OperatorRecordCodec recordCodec();

    /**
     * Creates the HTTP handler of the local target's reports.
     *
     * @param handler receives the decoded reports
     * @param log log to which rejected reports are written
     * @return the HTTP handler
     */
    ExchangeHandler reportEndpoint(TargetReportHandler handler, EventLog log);
  }

  /**
   * Binds all addresses and starts serving.
   *
   * @param settings fixed settings
   * @param platform parts of the node that depend on the platform
   * @return the running node
   * @throws org.cuminlatch.core.error.CuminlatchException with {@code INVALID_SETTING} if an
   *     address can't be bound
   */
  public static MeshNode start(MeshSettings settings, Platform platform) {
    MeshNode node = open(notNull(settings, "settings"), notNull(platform, "platform"));
    node.log
        .event("started")
        .with("callers", settings.callers().toString())
        .with("peers", settings.peers().toString())
        .with("service", settings.service())
        .with("zone", settings.locality().zone())
        .write();
    return node;
  }

  private static MeshNode open(MeshSettings settings, Platform platform) {
    EventLoopGroup trafficGroup = newGroup();
    EventLoopGroup controlGroup = newGroup();
    try {
      return new MeshNode(settings, platform, trafficGroup, controlGroup);
    } catch (RuntimeException notStarted) {
      shutDown(trafficGroup, controlGroup);
      throw notStarted;
    }
  }

  private static EventLoopGroup newGroup() {
    return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  }

  private static Hello hello(MeshSettings settings) {
    return Hello.newBuilder()
        .setAddress(settings.peers().toString())
        .setNode(settings.node())
        .build();
  }

  private static InetSocketAddress socketAddress(Address address) {
    return new InetSocketAddress(address.host(), address.port());
  }

  private Supplier<CallerLimits> configuredLimits() {
    return () ->
        control
            .view()
            .table()
            .map(table -> table.snapshot().callerLimits())
            .orElse(CallerLimits.DEFAULT);
  }

  private static Supplier<CallerLimits> defaultLimits() {
    return () -> CallerLimits.DEFAULT;
  }

  private void repeat(Duration period, Runnable task) {
    traffic.scheduleWithFixedDelay(
        () -> {
          try {
            task.run();
          } catch (RuntimeException error) {
            log.event("task-failed").with("reason", String.valueOf(error)).write();
          }
        },
        period.toMillis(),
        period.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  /** Logs when the lag of the traffic loop begins to cause refusals, and when it no longer does. */
  private void logLagChange() {
    boolean nowBehind = LagLimit.isBehind(lag.value());
    if (nowBehind != behind) {
      behind = nowBehind;
      log.event(behind ? "node-behind" : "node-caught-up")
          .with("lagMillis", lag.value().toMillis())
          .write();
    }
  }

  private void addGauges() {
    gauge("config_version", () -> control.view().version());
    gauge("gate_running", gate::running);
    gauge("gate_waiting", gate::waiting);
    gauge("target_limit_per_second", () -> gate.limitPerSecond().orElse(-1));
    gauge("links_open", links::openLinks);
    gauge("body_bytes_reserved", bodyBudget::reserved);
    gauge("target_cold_per_second", () -> finiteOr(gate.coldPerSecond(), -1));
    gauge("zones_evacuated", links::evacuatedZones);
    gauge("loop_lag_seconds", () -> lag.value().toNanos() / 1e9);
    control.eras().addGauges(metrics.registry());
    gauge("startup_waiting", () -> entry.startup().size());
    gauge("entry_oldest_call_seconds", () -> entry.oldestCall().toMillis() / 1000.0);
  }

  private static double finiteOr(double value, double other) {
    return Double.isInfinite(value) ? other : value;
  }

  private void gauge(String name, Gauge<Number> gauge) {
    metrics.registry().gauge(name, () -> gauge);
  }

  private void serveReadiness(ServerExchange exchange) {
    exchange.respond(control.isReady() ? 200 : 503, List.of(), new byte[0]);
  }

  private void serveMetrics(ServerExchange exchange) {
    traffic.execute(
        () -> {
          byte[] text = metrics.text().getBytes(StandardCharsets.UTF_8);
          exchange.respond(200, List.of(Map.entry("Content-Type", "text/plain")), text);
        });
  }

  /**
   * Logs the result of a check of the settings file; a running node keeps its settings.
   *
   * @param outcome result of the check
   */
  public void logReload(String outcome) {
    log.event("reloaded").with("outcome", outcome).write();
  }

  /**
   * Stops serving: announces the stop to peers and callers, completes the accepted calls, and
   * returns when none is left or the stop period has passed.
   *
   * <p>{@link StopAdmission} decides which calls are still accepted meanwhile.
   */
  public void stop() {
    log.event("stopping").with("periodMillis", settings.stopPeriod().toMillis()).write();
    final long start = System.nanoTime();
    control.announceStop();
    Instant now = clock.instant();
    StopAdmission admission = new StopAdmission(now, now.plus(settings.stopPeriod()));
    traffic.execute(
        () -> {
          callers.drain();
          entry.announceStop(admission);
          gate.announceStop(admission);
        });
    pause(STOP_NOTICE_PERIOD);
    long end = start + settings.stopPeriod().toNanos();
    boolean idle = false;
    while (System.nanoTime() < end && !idle) {
      pause(SWEEP_INTERVAL);
      idle = onTraffic(() -> entry.isIdle() && gate.isIdle() && callers.busyConnections() == 0);
    }
    onTraffic(
        () -> {
          callers.close();
          return true;
        });
    unregister();
    log.event("stopped").with("idle", String.valueOf(idle)).write();
    pause(SWEEP_INTERVAL);
    log.flush();
  }

  /** Removes the address from the store; the end of the process waits only shortly for that. */
  private void unregister() {
    try {
      control.unregister().get(UNREGISTER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException notRemoved) {
      log.event("address-not-removed").with("reason", String.valueOf(notRemoved)).write();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Shuts down both event loops at once; calls in progress are cut off. */
  @Override
  public void close() {
    shutDown(trafficGroup, controlGroup);
  }

  /**
   * Stops event loops, which closes all their connections and frees the addresses they listen on.
   */
  private static void shutDown(EventLoopGroup... groups) {
    for (EventLoopGroup group : groups) {
      group
          .shutdownGracefully(
              CLOSE_QUIET_PERIOD_MILLIS, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
          .awaitUninterruptibly(2 * CLOSE_TIMEOUT_MILLIS);
    }
  }

  private boolean onTraffic(BooleanSupplier condition) {
    CountDownLatch evaluated = new CountDownLatch(1);
    boolean[] result = new boolean[1];
    traffic.execute(
        () -> {
          result[0] = condition.getAsBoolean();
          evaluated.countDown();
        });
    try {
      return evaluated.await(settings.stopPeriod().toMillis(), TimeUnit.MILLISECONDS) && result[0];
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private static void pause(Duration time) {
    try {
      Thread.sleep(time.toMillis());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
