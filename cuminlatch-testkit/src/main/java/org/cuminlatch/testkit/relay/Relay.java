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
 * Relay on loopback that forwards TCP connections and UDP datagrams from one port to one target
 * address.
 *
 * <p>Its methods inject faults, which apply to both directions.
 */
public final class Relay implements AutoCloseable {

  private static final int MAX_BIND_ATTEMPTS = 20;
  private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final RelayFaults faults = new RelayFaults();
  private final Set<RelayedConnection> connections = ConcurrentHashMap.newKeySet();
  private final InetSocketAddress target;
  private final Channel listener;
  private final UdpRelay udpRelay;

  private Relay(InetSocketAddress target) {
    this.target = target;
    Channel tcp = null;
    UdpRelay udp = null;
    for (int i = 0; udp == null && i < MAX_BIND_ATTEMPTS; i++) {
      tcp = listen();
      udp = UdpRelay.tryBind(group, (InetSocketAddress) tcp.localAddress(), target, faults);
      if (udp == null) {
        tcp.close().syncUninterruptibly();
      }
    }
    if (udp == null) {
      group.shutdownGracefully();
      throw new IllegalStateException("found no port that is free for both TCP and UDP");
    }
    this.listener = tcp;
    this.udpRelay = udp;
  }

  /**
   * Starts a relay.
   *
   * @param target address to which all traffic is forwarded
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
    RelayedConnection connection = new RelayedConnection(channel, faults);
    connections.add(connection);
    channel.closeFuture().addListener(closed -> connections.remove(connection));
    connection.connect(target);
  }

  /**
   * Returns the port on which the relay listens with TCP and UDP.
   *
   * @return the port
   */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /**
   * Drops a random share of the datagrams.
   *
   * @param share share of datagrams to drop, from 0 to 1
   */
  public void dropDatagrams(double share) {
    faults.setDropShare(inRange(share, 0, 1, "share"));
  }

  /**
   * Delays all traffic in each direction.
   *
   * @param delay the delay, zero for none
   */
  public void delay(Duration delay) {
    faults.setDelay(notNull(delay, "delay"));
  }

  /**
   * Closes all connections that are currently open. Nothing is forwarded on them once this method
   * has returned.
   */
  public void closeConnections() {
    group.submit(() -> connections.forEach(RelayedConnection::close)).syncUninterruptibly();
  }

  /** Permanently stops forwarding on connections that are currently open; new ones work. */
  public void silence() {
    connections.forEach(RelayedConnection::silence);
  }

  /**
   * Blocks or unblocks all traffic. While blocked, no data is forwarded and new connections are
   * closed at once.
   *
   * @param blocked whether to block traffic
   */
  public void setBlocked(boolean blocked) {
    faults.setBlocked(blocked);
  }

  @Override
  public void close() {
    listener.close().syncUninterruptibly();
    udpRelay.close();
    closeConnections();
    group
        .shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
  }
}
