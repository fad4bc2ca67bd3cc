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
 * A target instance over HTTP/1.1 that answers any path with the request's id and body.
 *
 * <p>It speaks HTTP by Netty and not by the JDK's server, as the latter cannot tell that a caller
 * has closed its connection while a request runs.
 */
public final class Target implements AutoCloseable {

  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
  private static final int BACKLOG = 1_024;
  private static final long CLOSE_MILLIS = 2_000;

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
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new Connections())
            .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), options.port()))
            .syncUninterruptibly()
            .channel();
  }

  /**
   * Starts a target.
   *
   * @param options its options
   * @return the running target
   */
  public static Target start(TargetOptions options) {
    return new Target(notNull(options, "options"));
  }

  /**
   * Returns the port that the target listens on.
   *
   * @return the port
   */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /**
   * Changes how the target misbehaves from the next request on.
   *
   * @param behaviour the new behaviour
   */
  public void behave(Behaviour behaviour) {
    state.behave(notNull(behaviour, "behaviour"));
  }

  /** Refuses new requests from now on and finishes those that run. */
  public void drain() {
    state.drain();
  }

  /**
   * Returns what the target has done so far.
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
        .shutdownGracefully(0, CLOSE_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(CLOSE_MILLIS);
  }

  private final class Connections extends ChannelInitializer<SocketChannel> {

    @Override
    protected void initChannel(SocketChannel channel) {
      channel.pipeline().addLast(new HttpServerCodec());
      channel.pipeline().addLast(new HttpObjectAggregator(MAX_BODY_BYTES));
      channel.pipeline().addLast(new TargetConnection(state));
    }
  }
}
