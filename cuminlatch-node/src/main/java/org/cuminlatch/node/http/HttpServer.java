package org.cuminlatch.node.http;

import static org.cuminlatch.core.Preconditions.notNull;

import io.netty.bootstrap.ServerBootstrap;
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

/** An HTTP/1.1 server on one event loop; framing that two readers could take apart is rejected. */
public final class HttpServer {

  private static final int BACKLOG = 1024;

  private final ExchangeHandler handler;
  private final Supplier<CallerLimits> limits;
  private final Set<ServerConnection> connections = new HashSet<>();
  private final EventLog log;
  private Channel listener;
  private boolean leaving;

  private HttpServer(Supplier<CallerLimits> limits, EventLog log, ExchangeHandler handler) {
    this.limits = limits;
    this.log = log;
    this.handler = handler;
  }

  /**
   * Binds an address and serves it.
   *
   * @param group event loop group of one thread
   * @param address address to listen on; port 0 takes any
   * @param limits limits for callers, asked for at each request
   * @param log takes what is rejected here
   * @param handler takes the requests
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
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
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
          "the address can't be bound",
          bound.cause());
    }
    server.listener = bound.channel();
    return server;
  }

  private void initialize(SocketChannel channel) {
    StrictResponseEncoder encoder = new StrictResponseEncoder();
    ServerConnection connection = new ServerConnection(this, channel, encoder);
    channel
        .pipeline()
        .addLast(connection.headTimer())
        .addLast(new StrictRequestDecoder(limits.get().maxHeaderBytes()))
        .addLast(encoder)
        .addLast(connection);
    connections.add(connection);
    channel.closeFuture().addListener(closed -> connections.remove(connection));
  }

  /**
   * Returns where the server listens.
   *
   * @return the address in use
   */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Ends each kept connection with its next answer; to be called on the event loop. */
  public void leave() {
    leaving = true;
  }

  /** Accepts no more connections and closes those that have no request; on the event loop. */
  public void close() {
    leaving = true;
    listener.close();
    List.copyOf(connections).forEach(ServerConnection::closeIfIdle);
  }

  /**
   * Returns the number of requests that have no whole answer yet; to be called on the event loop.
   *
   * @return the number
   */
  public int unanswered() {
    return (int) connections.stream().filter(ServerConnection::isBusy).count();
  }

  boolean isLeaving() {
    return leaving;
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
