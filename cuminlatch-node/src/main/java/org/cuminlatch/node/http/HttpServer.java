package org.cuminlatch.node.http;

import static org.cuminlatch.core.Preconditions.notNull;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
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

  private final ExchangeHandler handler;
  private final Supplier<CallerLimits> limits;
  private final Set<ServerConnection> connections = new HashSet<>();
  private final EventLog log;
  private Channel serverChannel;
  private boolean draining;

  private HttpServer(Supplier<CallerLimits> limits, EventLog log, ExchangeHandler handler) {
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
    HttpServer server =
        new HttpServer(notNull(limits, "limits"), notNull(log, "log"), notNull(handler, "handler"));
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
    return server;
  }

  private void initialize(SocketChannel channel) {
    HeadAwareResponseEncoder encoder = new HeadAwareResponseEncoder();
    ServerConnection connection = new ServerConnection(this, channel, encoder);
    channel
        .pipeline()
        .addLast(connection.headerTimeoutHandler())
        .addLast(new StrictRequestDecoder(limits.get().maxHeaderBytes()))
        .addLast(encoder)
        .addLast(connection);
    connections.add(connection);
    channel.closeFuture().addListener(closed -> connections.remove(connection));
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
