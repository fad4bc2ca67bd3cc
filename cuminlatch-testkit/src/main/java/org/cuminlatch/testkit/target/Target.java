package org.cuminlatch.testkit.target;

import static org.cuminlatch.core.Preconditions.notNull;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in for a target instance over HTTP/1.1 that answers any path with the request's ID and
 * body.
 *
 * <p>It is based on Netty, as the JDK's HTTP server does not detect that a caller closes its
 * connection while a request is being executed.
 */
public final class Target implements AutoCloseable {

  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
  private static final int ACCEPT_BACKLOG = 1_024;
  private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

  private final TargetState state;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Channel listener;

  private Target(TargetOptions options) {
    this.state = new TargetState(options, InstantSource.system());
    this.listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ConnectionInitializer())
            .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), options.port()))
            .syncUninterruptibly()
            .channel();
  }

  /**
   * Starts a target.
   *
   * @param options options of the target
   * @return the running target
   */
  public static Target start(TargetOptions options) {
    return new Target(notNull(options, "options"));
  }

  /**
   * Returns the port on which the target listens.
   *
   * @return the port
   */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /**
   * Changes the behaviour of the target from the next request on.
   *
   * @param behaviour the new behaviour
   */
  public void setBehaviour(Behaviour behaviour) {
    state.setBehaviour(notNull(behaviour, "behaviour"));
  }

  /** Starts the drain: new requests are refused, running requests are completed. */
  public void drain() {
    state.drain();
  }

  /**
   * Returns the counts of requests by outcome.
   *
   * @return the counts
   */
  public Executions executions() {
    return state.counter().executions();
  }

  @Override
  public void close() {
    listener.close().syncUninterruptibly();
    group
        .shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
  }

  private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {

    @Override
    protected void initChannel(SocketChannel channel) {
      channel.pipeline().addLast(new HttpServerCodec());
      channel.pipeline().addLast(new HttpObjectAggregator(MAX_BODY_BYTES));
      channel.pipeline().addLast(new TargetConnection(state));
    }
  }
}
