package org.cuminlatch.testkit.relay;

import static org.cuminlatch.core.Preconditions.inRange;
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
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Relay on loopback that passes TCP connections and UDP datagrams on to one address, both from the
 * same port.
 *
 * <p>Faults are switched by its methods and hold for both directions.
 */
public final class Relay implements AutoCloseable {

  private static final int PORT_TRIES = 20;
  private static final long CLOSE_MILLIS = 2_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final RelayFaults faults = new RelayFaults();
  private final Set<TcpPair> pairs = ConcurrentHashMap.newKeySet();
  private final InetSocketAddress target;
  private final Channel listener;
  private final UdpRelay datagrams;

  private Relay(InetSocketAddress target) {
    this.target = target;
    Channel tcp = null;
    UdpRelay udp = null;
    for (int i = 0; udp == null && i < PORT_TRIES; i++) {
      tcp = listen();
      udp = UdpRelay.tryBind(group, (InetSocketAddress) tcp.localAddress(), target, faults);
      if (udp == null) {
        tcp.close().syncUninterruptibly();
      }
    }
    if (udp == null) {
      group.shutdownGracefully();
      throw new IllegalStateException("no port is free for both TCP and UDP");
    }
    this.listener = tcp;
    this.datagrams = udp;
  }

  /**
   * Starts a relay.
   *
   * @param target where to pass everything on to
   * @return the running relay
   */
  public static Relay to(InetSocketAddress target) {
    return new Relay(notNull(target, "target"));
  }

  private Channel listen() {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.AUTO_READ, false)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                accept(channel);
              }
            })
        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        .syncUninterruptibly()
        .channel();
  }

  private void accept(SocketChannel channel) {
    if (faults.blocked()) {
      channel.close();
      return;
    }
    TcpPair pair = new TcpPair(channel, faults);
    pairs.add(pair);
    channel.closeFuture().addListener(closed -> pairs.remove(pair));
    pair.connect(target);
  }

  /**
   * Returns the port that the relay listens on, by TCP and UDP.
   *
   * @return the port
   */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /**
   * Loses a share of the datagrams.
   *
   * @param share share from 0 to 1
   */
  public void dropDatagrams(double share) {
    faults.dropShare(inRange(share, 0, 1, "share"));
  }

  /**
   * Delays everything that passes, each way.
   *
   * @param delay the delay, zero to end it
   */
  public void delay(Duration delay) {
    faults.delay(notNull(delay, "delay"));
  }

  /** Closes all connections that are open now. */
  public void cut() {
    pairs.forEach(TcpPair::close);
  }

  /** Passes nothing more on connections that are open now, for good; new ones work. */
  public void silence() {
    pairs.forEach(TcpPair::silence);
  }

  /**
   * Parts the two sides: nothing passes, and new connections are closed at once.
   *
   * @param blocked whether they are parted
   */
  public void block(boolean blocked) {
    faults.blocked(blocked);
  }

  @Override
  public void close() {
    listener.close().syncUninterruptibly();
    datagrams.close();
    cut();
    group
        .shutdownGracefully(0, CLOSE_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(CLOSE_MILLIS);
  }
}
