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
 * Carries calls from callers to targets. Callers send HTTP requests to any node; that node forwards
 * each attempt to the target's node, which assigns it a slot and runs it at the target over HTTP.
 */
public final class CallPath implements AutoCloseable {

  /** Time after {@link #drain} in which callers are still served while they switch nodes. */
  public static final Duration CALLER_DRAIN_GRACE = Duration.ofSeconds(2);

  private static final Logger LOG = LogManager.getLogger(CallPath.class);
  private static final int TRANSPORT_THREADS = 2;
  private static final int ACCEPT_BACKLOG = 1024;
  private static final long SWEEP_INTERVAL_MILLIS = 20;
  private static final long IDLE_SWEEP_INTERVAL_MILLIS = 100;

  private final CallPathDependencies dependencies;
  private final CallTransport transport;
  private final EntryExecutor executor;
  private final ScheduledExecutorService timer;
  private final HttpServer server;
  private final InetSocketAddress forwardAddress;
  private final TargetGate gate;
  private final StallDetector stallDetector;
  private final PeerPool pool;
  private final EntryState entry;
  private final EntryHandler handler;
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private volatile Instant refuseCallersAt = Instant.MAX;

  private CallPath(CallPathSettings settings, CallPathDependencies dependencies) {
    this.dependencies = dependencies;
    this.transport = CallTransport.start(TRANSPORT_THREADS);
    TargetClient client = new TargetClient(settings.target());
    this.gate = new TargetGate(settings, client, dependencies);
    this.stallDetector = new StallDetector(gate, client, dependencies.clock());
    this.pool = new PeerPool(transport, dependencies.clock(), dependencies.self(), gate);
    RoutingState routing = new RoutingState(dependencies, settings.linkBytesPerSecond());
    this.entry = new EntryState(dependencies, routing, pool);
    this.handler = new EntryHandler(entry, gate, dependencies.metrics());
    this.executor = new EntryExecutor(settings.maxCallerThreads());
    this.forwardAddress = transport.listen(settings.forwardAddress(), gate);
    this.server = listen(settings.callerAddress());
    this.timer = Executors.newSingleThreadScheduledExecutor();
  }

  /**
   * Binds the addresses and starts serving calls.
   *
   * @param settings fixed settings
   * @param dependencies what the call path uses of the rest of the node
   * @return the running call path
   * @throws CuminlatchException with {@code INVALID_SETTING} if an address can't be bound
   */
  public static CallPath start(CallPathSettings settings, CallPathDependencies dependencies) {
    JdkHttpProperties.configure();
    CallPath path =
        new CallPath(notNull(settings, "settings"), notNull(dependencies, "dependencies"));
    path.server.start();
    path.scheduleSweep();
    Gauge<Boolean> idle = path::isIdle;
    dependencies.metrics().gauge("calls.idle", () -> idle);
    return path;
  }

  private HttpServer listen(InetSocketAddress address) {
    try {
      HttpServer newServer = HttpServer.create(address, ACCEPT_BACKLOG);
      newServer.createContext("/", handler);
      newServer.setExecutor(executor);
      return newServer;
    } catch (IOException error) {
      throw CuminlatchException.of(
          ErrorCode.INVALID_SETTING,
          Step.SETTINGS,
          address.toString(),
          "the address for callers could not be bound",
          error);
    }
  }

  /**
   * Returns the address that callers connect to.
   *
   * @return the bound address
   */
  public InetSocketAddress callerAddress() {
    return server.getAddress();
  }

  /**
   * Returns the address that other nodes connect to.
   *
   * @return the bound address
   */
  public InetSocketAddress forwardAddress() {
    return forwardAddress;
  }

  /**
   * Returns where a request would be routed now and why, without sending it.
   *
   * @param host value of the Host header, without a port
   * @param path path without query
   * @param method HTTP method
   * @param headers request headers
   * @return the decision
   */
  public RoutingDecision explain(
      String host, String path, String method, Map<String, String> headers) {
    Map<String, String> lowerCaseHeaders = new HashMap<>();
    headers.forEach((name, value) -> lowerCaseHeaders.put(name.toLowerCase(Locale.ROOT), value));
    RequestHead head = new RequestHead(method, host, path, lowerCaseHeaders);
    return entry.routing().decide(entry.routing().table(), head, Set.of());
  }

  /**
   * Starts to drain the node. New attempts for the local target are refused as not run, callers are
   * served for another {@link #CALLER_DRAIN_GRACE}, and running calls and attempts are completed.
   *
   * @return completes when no call and no attempt is running any more
   */
  public CompletableFuture<Void> drain() {
    gate.drain();
    handler.closeConnectionsAfterAnswer();
    refuseCallersAt = dependencies.clock().instant().plus(CALLER_DRAIN_GRACE);
    return drained;
  }

  /**
   * Returns the load of the local target.
   *
   * @return number of requests that hold a slot, number of queued requests, and the current limit
   */
  public ReportedLoad load() {
    return gate.reportedLoad();
  }

  /**
   * Returns whether no call and no attempt is running.
   *
   * @return true if the node could stop without interrupting a call
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
    long delay = isIdle() ? IDLE_SWEEP_INTERVAL_MILLIS : SWEEP_INTERVAL_MILLIS;
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
      Instant now = dependencies.clock().instant();
      gate.sweep(now);
      stallDetector.check(now);
      pool.check(now);
      if (!now.isBefore(refuseCallersAt)) {
        handler.refuseAll();
        if (isIdle()) {
          drained.complete(null);
        }
      }
    } catch (RuntimeException error) {
      LOG.error("the periodic check of calls, attempts and connections failed", error);
    }
  }
}
