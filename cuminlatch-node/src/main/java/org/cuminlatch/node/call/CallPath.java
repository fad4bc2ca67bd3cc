package org.cuminlatch.node.call;

import static org.cuminlatch.core.Preconditions.notNull;

import com.codahale.metrics.Gauge;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;
import org.cuminlatch.core.route.ReportedLoad;
import org.cuminlatch.core.route.RequestHead;
import org.cuminlatch.core.route.RoutingDecision;
import org.cuminlatch.wire.call.CallTransport;

/**
 * Carries calls from callers to targets: callers enter by HTTP, nodes forward to the node beside
 * the target, and that node gives the attempt a slot and runs it at the target by HTTP.
 */
public final class CallPath implements AutoCloseable {

  /** Time after {@link #drain} in which callers are still served while they move elsewhere. */
  public static final Duration LEAVE_PERIOD = Duration.ofSeconds(2);

  private static final Logger LOG = LogManager.getLogger(CallPath.class);
  private static final int TRANSPORT_THREADS = 2;
  private static final int BACKLOG = 1024;
  private static final long SWEEP_MILLIS = 20;
  private static final long IDLE_SWEEP_MILLIS = 100;

  private final CallPathInputs inputs;
  private final CallTransport transport;
  private final EntryExecutor executor;
  private final ScheduledExecutorService timer;
  private final HttpServer server;
  private final InetSocketAddress forwardAddress;
  private final TargetGate gate;
  private final StallWatch stalls;
  private final PeerPool pool;
  private final EntryState entry;
  private final EntryHandler handler;
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private volatile Instant leavesAt = Instant.MAX;

  private CallPath(CallPathSettings settings, CallPathInputs inputs) {
    this.inputs = inputs;
    this.transport = CallTransport.start(TRANSPORT_THREADS);
    TargetClient client = new TargetClient(settings.target());
    this.gate = new TargetGate(settings, client, inputs);
    this.stalls = new StallWatch(gate, client, inputs.clock());
    this.pool = new PeerPool(transport, inputs.clock(), inputs.self(), gate);
    RoutingState routing = new RoutingState(inputs, settings.linkBytesPerSecond());
    this.entry = new EntryState(inputs, routing, pool);
    this.handler = new EntryHandler(entry, gate, inputs.metrics());
    this.executor = new EntryExecutor(settings.callerThreads());
    this.forwardAddress = transport.listen(settings.forwardAddress(), gate);
    this.server = listen(settings.callerAddress());
    this.timer = Executors.newSingleThreadScheduledExecutor();
  }

  /**
   * Binds the addresses and starts to serve.
   *
   * @param settings fixed settings
   * @param inputs what is read from the rest of the node
   * @return the running call path
   * @throws CuminlatchException with {@code INVALID_SETTING} if an address can't be bound
   */
  public static CallPath start(CallPathSettings settings, CallPathInputs inputs) {
    JdkHttp.configure();
    CallPath path = new CallPath(notNull(settings, "settings"), notNull(inputs, "inputs"));
    path.server.start();
    path.scheduleSweep();
    Gauge<Boolean> idle = path::isIdle;
    inputs.metrics().gauge("calls.idle", () -> idle);
    return path;
  }

  private HttpServer listen(InetSocketAddress address) {
    try {
      HttpServer created = HttpServer.create(address, BACKLOG);
      created.createContext("/", handler);
      created.setExecutor(executor);
      return created;
    } catch (IOException error) {
      throw CuminlatchException.of(
          ErrorCode.INVALID_SETTING,
          Step.SETTINGS,
          address.toString(),
          "the address for callers can't be bound",
          error);
    }
  }

  /**
   * Returns where callers connect.
   *
   * @return the address in use
   */
  public InetSocketAddress callerAddress() {
    return server.getAddress();
  }

  /**
   * Returns where other nodes connect.
   *
   * @return the address in use
   */
  public InetSocketAddress forwardAddress() {
    return forwardAddress;
  }

  /**
   * Tells where a request would go at present and why; nothing is sent.
   *
   * @param host host that the caller names
   * @param path path without query
   * @param method HTTP method
   * @param headers request headers
   * @return the decision
   */
  public RoutingDecision explain(
      String host, String path, String method, Map<String, String> headers) {
    Map<String, String> lowerCase = new HashMap<>();
    headers.forEach((name, value) -> lowerCase.put(name.toLowerCase(Locale.ROOT), value));
    RequestHead head = new RequestHead(method, host, path, lowerCase);
    return entry.routing().decide(entry.routing().table(), head, Set.of());
  }

  /**
   * Leaves: attempts that arrive for the target are refused as not run from now on, callers are
   * served for {@link #LEAVE_PERIOD} more, and what is under way ends.
   *
   * @return completes when nothing is under way any more
   */
  public CompletableFuture<Void> drain() {
    gate.drain();
    handler.leave();
    leavesAt = inputs.clock().instant().plus(LEAVE_PERIOD);
    return drained;
  }

  /**
   * Returns the load of the target beside the node.
   *
   * @return requests that hold a slot and that wait, and the limit in force
   */
  public ReportedLoad load() {
    return gate.reportedLoad();
  }

  /**
   * Returns whether no call and no attempt is under way.
   *
   * @return true if the node could stop without cutting anything off
   */
  public boolean isIdle() {
    return gate.isIdle() && entry.isIdle();
  }

  @Override
  public void close() {
    timer.shutdownNow();
    server.stop(0);
    executor.close();
    pool.close();
    transport.close();
  }

  private void scheduleSweep() {
    long delay = isIdle() ? IDLE_SWEEP_MILLIS : SWEEP_MILLIS;
    timer.schedule(this::sweepAndScheduleNext, delay, TimeUnit.MILLISECONDS);
  }

  private void sweepAndScheduleNext() {
    sweep();
    if (!timer.isShutdown()) {
      scheduleSweep();
    }
  }

  private void sweep() {
    try {
      Instant now = inputs.clock().instant();
      gate.sweep(now);
      stalls.check(now);
      pool.check(now);
      if (!now.isBefore(leavesAt)) {
        handler.refuseAll();
        if (isIdle()) {
          drained.complete(null);
        }
      }
    } catch (RuntimeException error) {
      LOG.error("the sweep of the call path failed", error);
    }
  }
}
