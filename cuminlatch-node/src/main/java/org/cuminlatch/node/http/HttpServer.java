package org.cuminlatch.node.http;

import static org.cuminlatch.core.Preconditions.notNull;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.cuminlatch.core.config.CallerLimits;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;
import org.cuminlatch.node.event.EventLog;

/**
 * An HTTP/1.1 server on one event loop.
 *
 * <p>Requests with ambiguous framing, which two implementations could split differently, are
 * rejected.
 */
public final class HttpServer {

  /**
   * Size in bytes beyond which a body is handed over in parts, if the handler receives such.
   * Smaller ones are handed over whole, so that they can be sent again to another target.
   */
  public static final int STREAMED_BODY_BYTES = 256 * 1024;

  private static final int ACCEPT_BACKLOG = 1024;

  /** Maximum number of reads from one connection before the others get their turn. */
  private static final int MAX_READS_PER_ROUND = 16;

  /** Maximum number of connections of a server for which none is given. */
  private static final int DEFAULT_MAX_CONNECTIONS = 1024;

  private static final Duration SWEEP_INTERVAL = Duration.ofMillis(500);

  /** Time between two sweeps after which this process, and not its clients, made no progress. */
  private static final Duration MAX_SWEEP_GAP = SWEEP_INTERVAL.multipliedBy(4);

  /** Time without progress after which a body is given up if others wait for its room. */
  private static final Duration STALL_TIMEOUT = Duration.ofSeconds(1);

  /**
   * Time for which a body waits for room. Requests that are handled give theirs back within their
   * route's timeout, which is 1.5 s for most.
   */
  private static final Duration MAX_ROOM_WAIT = Duration.ofSeconds(2);

  private final EventLoop loop;
  private final ServerLimits serverLimits;
  private final ExchangeHandler handler;
  private final Supplier<CallerLimits> limits;
  private final Set<ServerConnection> connections = new HashSet<>();
  private final EventLog log;
  private final InstantSource clock = new MonotonicInstants();

  /** Connections that wait for room in the budget, in the order in which they began to. */
  private final Set<ServerConnection> waiting = new LinkedHashSet<>();

  private final AtomicInteger connectionCount = new AtomicInteger();
  private final AtomicBoolean resumeScheduled = new AtomicBoolean();
  private Instant lastSweep = clock.instant();
  private Channel serverChannel;
  private boolean draining;

  private HttpServer(
      EventLoop loop,
      Supplier<CallerLimits> limits,
      ServerLimits serverLimits,
      EventLog log,
      ExchangeHandler handler) {
    this.loop = loop;
    this.serverLimits = serverLimits;
    this.limits = limits;
    this.log = log;
    this.handler = handler;
  }

  /**
   * Binds an address and starts serving requests.
   *
   * @param group event loop group of one thread
   * @param address address to listen on; port 0 selects a free port
   * @param limits limits for callers, read anew for each request
   * @param log receives an event for each request that the server rejects itself
   * @param handler handles the requests
   * @return the server
   * @throws CuminlatchException with {@code INVALID_SETTING} if the address can't be bound
   */
  public static HttpServer listen(
      EventLoopGroup group,
      InetSocketAddress address,
      Supplier<CallerLimits> limits,
      EventLog log,
      ExchangeHandler handler) {
    BodyBudget budget = BodyBudget.ofHeap(Runtime.getRuntime().maxMemory());
    ServerLimits serverLimits =
        ServerLimits.of(budget, DEFAULT_MAX_CONNECTIONS, limitIgnored -> {});
    return listen(group, address, limits, serverLimits, log, handler);
  }

  /**
   * Binds an address and starts serving requests, with limits that protect the process.
   *
   * @param group event loop group of one thread
   * @param address address to listen on; port 0 selects a free port
   * @param limits limits for callers, read anew for each request
   * @param serverLimits limits that protect the process
   * @param log receives an event for each request that the server rejects itself
   * @param handler handles the requests
   * @return the server
   * @throws CuminlatchException with {@code INVALID_SETTING} if the address can't be bound
   */
  public static HttpServer listen(
      EventLoopGroup group,
      InetSocketAddress address,
      Supplier<CallerLimits> limits,
      ServerLimits serverLimits,
      EventLog log,
      ExchangeHandler handler) {
    HttpServer server =
        new HttpServer(
            (EventLoop) group.next(),
            notNull(limits, "limits"),
            notNull(serverLimits, "serverLimits"),
            notNull(log, "log"),
            notNull(handler, "handler"));
    ChannelFuture bound =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            // read until nothing is left, so that a close is seen together with what precedes it
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator()
                    .respectMaybeMoreData(false)
                    .maxMessagesPerRead(MAX_READS_PER_ROUND))
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    server.initialize(channel);
                  }
                })
            .bind(address)
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw CuminlatchException.of(
          ErrorCode.INVALID_SETTING,
          Step.SETTINGS,
          address.toString(),
          "the address could not be bound",
          bound.cause());
    }
    server.serverChannel = bound.channel();
    server.startLimits();
    return server;
  }

  private void initialize(SocketChannel channel) {
    HeadAwareResponseEncoder encoder = new HeadAwareResponseEncoder();
    StrictRequestDecoder decoder = new StrictRequestDecoder(limits.get().maxHeaderBytes());
    ServerConnection connection = new ServerConnection(this, channel, decoder, encoder);
    channel
        .pipeline()
        .addLast(connection.transferHandler())
        .addLast(decoder)
        .addLast(encoder)
        .addLast(connection);
    connections.add(connection);
    connectionCount.incrementAndGet();
    channel
        .closeFuture()
        .addListener(
            closed -> {
              connections.remove(connection);
              connectionCount.decrementAndGet();
            });
    if (connections.size() > serverLimits.maxConnections()) {
      leastUseful().orElse(connection).closeFor(ServerLimit.CONNECTIONS);
    }
  }

  /**
   * Returns the connection to close for a new one: of those without a request that is handled, the
   * one without progress for the longest time, otherwise one whose response is not read.
   */
  private Optional<ServerConnection> leastUseful() {
    return connections.stream()
        .filter(connection -> !connection.isClosed() && !connection.isHandling())
        .max(Comparator.comparing(ServerConnection::sinceProgress))
        .or(
            () ->
                connections.stream()
                    .filter(connection -> !connection.isClosed())
                    .filter(connection -> connection.responseStalledFor(STALL_TIMEOUT))
                    .findFirst());
  }

  private void startLimits() {
    serverLimits.budget().addRoomListener(this::scheduleResume);
    long millis = SWEEP_INTERVAL.toMillis();
    loop.scheduleWithFixedDelay(this::sweep, millis, millis, TimeUnit.MILLISECONDS);
  }

  private void scheduleResume() {
    if (resumeScheduled.compareAndSet(false, true) && !loop.isShuttingDown()) {
      loop.execute(
          () -> {
            resumeScheduled.set(false);
            List.copyOf(waiting).forEach(ServerConnection::resume);
          });
    }
  }

  private void sweep() {
    Instant now = clock.instant();
    boolean late = Duration.between(lastSweep, now).compareTo(MAX_SWEEP_GAP) > 0;
    lastSweep = now;
    if (late) {
      connections.forEach(ServerConnection::restartRates);
      return;
    }
    List.copyOf(connections).forEach(ServerConnection::checkRates);
    if (serverLimits.budget().isAwaited()) {
      List.copyOf(connections).stream()
          .filter(connection -> connection.bodyStalledFor(STALL_TIMEOUT))
          .forEach(connection -> connection.refuseBody(ServerLimit.BODY_BUDGET));
      refuseLatestWaiting();
    }
  }

  /**
   * Refuses the later half of the bodies that have waited too long, so that the room that they
   * occupy lets the earlier ones go on.
   */
  private void refuseLatestWaiting() {
    List<ServerConnection> overdue =
        new ArrayList<>(
            waiting.stream().filter(connection -> connection.hasWaitedFor(MAX_ROOM_WAIT)).toList());
    overdue
        .subList(overdue.size() / 2, overdue.size())
        .forEach(connection -> connection.refuseBody(ServerLimit.BODY_BUDGET));
  }

  void beginWait(ServerConnection connection) {
    if (waiting.add(connection)) {
      serverLimits.budget().beginWait();
    }
  }

  void endWait(ServerConnection connection) {
    if (waiting.remove(connection)) {
      serverLimits.budget().endWait();
    }
  }

  ServerLimits serverLimits() {
    return serverLimits;
  }

  InstantSource clock() {
    return clock;
  }

  /**
   * Returns the address that the server listens on.
   *
   * @return the bound address
   */
  public InetSocketAddress address() {
    return (InetSocketAddress) serverChannel.localAddress();
  }

  /** Closes each connection after its next response; must be called on the event loop. */
  public void drain() {
    draining = true;
  }

  /**
   * Stops accepting connections and closes those without a request; must be called on the event
   * loop.
   */
  public void close() {
    draining = true;
    serverChannel.close();
    List.copyOf(connections).forEach(ServerConnection::closeIfIdle);
  }

  /**
   * Returns the number of connections with a request that has no complete response yet; must be
   * called on the event loop.
   *
   * @return the number of connections
   */
  public int busyConnections() {
    return (int) connections.stream().filter(ServerConnection::isBusy).count();
  }

  /** Clock that is not affected by changes of the wall clock. */
  private static final class MonotonicInstants implements InstantSource {

    private final long startNanos = System.nanoTime();

    @Override
    public Instant instant() {
      return Instant.EPOCH.plusNanos(System.nanoTime() - startNanos);
    }
  }

  /** Returns the number of open connections; may be called on any thread. */
  int connectionCount() {
    return connectionCount.get();
  }

  boolean isDraining() {
    return draining;
  }

  CallerLimits limits() {
    return limits.get();
  }

  EventLog log() {
    return log;
  }

  ExchangeHandler handler() {
    return handler;
  }
}
