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
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.admission.LagLimit;
import org.cuminlatch.core.config.CallerLimits;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.http.ExchangeHandler;
import org.cuminlatch.node.http.HttpClient;
import org.cuminlatch.node.http.HttpServer;
import org.cuminlatch.node.http.ServerExchange;
import org.cuminlatch.wire.call.CallTransport;

/** A node on an operator's platform: traffic on one event loop, control state on another. */
public final class MeshNode implements AutoCloseable {

  private static final Duration TARGET_CONNECT_TIMEOUT = Duration.ofMillis(400);
  private static final int MOST_ANSWER_BYTES = 16 << 20;
  private static final Duration SWEEP = Duration.ofMillis(50);
  private static final Duration LINK_CHECK = Duration.ofMillis(250);

  /** Time after the request to stop in which callers still learn that the node is not ready. */
  private static final Duration LEAVE_NOTICE = Duration.ofMillis(3200);

  private static final long CLOSE_MILLIS = 500;

  private final MeshSettings settings;
  private final EventLoopGroup trafficGroup;
  private final EventLoopGroup controlGroup;
  private final EventLoop traffic;
  private final EventLog log;
  private final MeshMetrics metrics = new MeshMetrics();
  private final LoopLag lag = new LoopLag(SWEEP);
  private final MeshControl control;
  private final Entry entry;
  private final SlotGate gate;
  private final PeerLinks links;
  private final HttpServer callers;
  private boolean behind;

  private MeshNode(MeshSettings settings, Platform platform) {
    this.settings = settings;
    this.trafficGroup = group();
    this.controlGroup = group();
    this.traffic = (EventLoop) trafficGroup.next();
    MonotonicClock clock = new MonotonicClock();
    RandomGenerator random = new SplittableRandom(System.nanoTime() ^ settings.node().hashCode());
    this.log = EventLog.start(clock, settings.node());
    HttpClient target =
        new HttpClient(trafficGroup, settings.target(), TARGET_CONNECT_TIMEOUT, MOST_ANSWER_BYTES);
    this.control =
        new MeshControl(
            settings,
            (EventLoop) controlGroup.next(),
            traffic,
            clock,
            random.nextLong(),
            log,
            platform.store(controlGroup, metrics),
            platform.records());
    this.gate =
        new SlotGate(traffic, target, clock, settings.headers(), lag, log, control.gateListener());
    CallTransport transport = CallTransport.withGroup(trafficGroup);
    this.links = new PeerLinks(transport, random, log, control.statusListener());
    this.entry =
        new Entry(traffic, settings, clock, random, links, control::view, lag, log, metrics);
    control.connect(gate, links, new LocalLink(traffic, gate));
    this.callers =
        HttpServer.listen(trafficGroup, socket(settings.callers()), limits(), log, entry);
    transport.listen(socket(settings.peers()), gate);
    ExchangeHandler reports = platform.reports(control.reports(), log);
    HttpServer.listen(controlGroup, socket(settings.control()), defaults(), log, reports);
    HttpServer.listen(controlGroup, socket(settings.ready()), defaults(), log, this::ready);
    HttpServer.listen(controlGroup, socket(settings.metrics()), defaults(), log, this::metrics);
    addGauges();
    every(
        SWEEP,
        () -> {
          lag.tick();
          watchLag();
          gate.sweep();
        });
    every(LINK_CHECK, links::check);
    control.start();
  }

  /** What the node needs of the platform that it runs on. */
  public interface Platform {

    /**
     * Creates the client of the store.
     *
     * @param group event loop group of the control thread
     * @param metrics takes counts of its calls
     * @return the client
     */
    KeyedStore store(EventLoopGroup group, MeshMetrics metrics);

    /**
     * Returns the translation of operators' records.
     *
     * @return the translation
     */
    OperatorRecords records();

    /**
     * Creates the handler of what the target says.
     *
     * @param reports takes what it says
     * @param log takes what is rejected
     * @return the handler
     */
    ExchangeHandler reports(TargetReports reports, EventLog log);
  }

  /**
   * Binds all addresses and starts to serve.
   *
   * @param settings fixed settings
   * @param platform the platform that it runs on
   * @return the running node
   * @throws org.cuminlatch.core.error.CuminlatchException with {@code INVALID_SETTING} if an
   *     address can't be bound
   */
  public static MeshNode start(MeshSettings settings, Platform platform) {
    MeshNode node = new MeshNode(notNull(settings, "settings"), notNull(platform, "platform"));
    node.log
        .event("started")
        .with("callers", settings.callers().toString())
        .with("peers", settings.peers().toString())
        .with("service", settings.service())
        .with("zone", settings.locality().zone())
        .write();
    return node;
  }

  private static EventLoopGroup group() {
    return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  }

  private static InetSocketAddress socket(Address address) {
    return new InetSocketAddress(address.host(), address.port());
  }

  private Supplier<CallerLimits> limits() {
    return () ->
        control
            .view()
            .table()
            .map(table -> table.snapshot().callerLimits())
            .orElse(CallerLimits.DEFAULT);
  }

  private static Supplier<CallerLimits> defaults() {
    return () -> CallerLimits.DEFAULT;
  }

  private void every(Duration period, Runnable task) {
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

  /** Says when the traffic loop falls behind so far that calls are refused, and when it is over. */
  private void watchLag() {
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
    gauge("links_open", links::openLinks);
    gauge("loop_lag_seconds", () -> lag.value().toNanos() / 1e9);
    gauge("entry_oldest_call_seconds", () -> entry.oldestCall().toMillis() / 1000.0);
  }

  private void gauge(String name, Gauge<Number> gauge) {
    metrics.registry().gauge(name, () -> gauge);
  }

  private void ready(ServerExchange exchange) {
    exchange.respond(control.isReady() ? 200 : 503, List.of(), new byte[0]);
  }

  private void metrics(ServerExchange exchange) {
    traffic.execute(
        () -> {
          byte[] text = metrics.text().getBytes(StandardCharsets.UTF_8);
          exchange.respond(200, List.of(Map.entry("Content-Type", "text/plain")), text);
        });
  }

  /**
   * Notes that the settings file may have changed.
   *
   * @param outcome what was found
   */
  public void reloaded(String outcome) {
    log.event("reloaded").with("outcome", outcome).write();
  }

  /**
   * Stops: tells peers and callers, ends what was taken on and returns when all of it is done.
   *
   * <p>Callers are served until they have had time to learn that the node is not ready; what comes
   * after that is refused, so that nothing is cut off at the end.
   */
  public void stop() {
    log.event("stopping").with("periodMillis", settings.stopPeriod().toMillis()).write();
    final long start = System.nanoTime();
    control.stopping();
    traffic.execute(callers::leave);
    pause(LEAVE_NOTICE);
    traffic.execute(entry::close);
    long end = start + settings.stopPeriod().toNanos();
    boolean idle = false;
    while (System.nanoTime() < end && !idle) {
      pause(SWEEP);
      idle = onTraffic(() -> entry.isIdle() && gate.isIdle() && callers.unanswered() == 0);
    }
    onTraffic(
        () -> {
          callers.close();
          return true;
        });
    log.event("stopped").with("idle", String.valueOf(idle)).write();
    pause(SWEEP);
    log.flush();
  }

  /** Ends both event loops at once, cutting off what is under way. */
  @Override
  public void close() {
    for (EventLoopGroup group : List.of(trafficGroup, controlGroup)) {
      group
          .shutdownGracefully(0, CLOSE_MILLIS, TimeUnit.MILLISECONDS)
          .awaitUninterruptibly(2 * CLOSE_MILLIS);
    }
  }

  private boolean onTraffic(BooleanSupplier question) {
    CountDownLatch answered = new CountDownLatch(1);
    boolean[] answer = new boolean[1];
    traffic.execute(
        () -> {
          answer[0] = question.getAsBoolean();
          answered.countDown();
        });
    try {
      return answered.await(settings.stopPeriod().toMillis(), TimeUnit.MILLISECONDS) && answer[0];
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
