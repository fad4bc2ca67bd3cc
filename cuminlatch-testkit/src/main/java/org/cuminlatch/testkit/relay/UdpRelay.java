package org.cuminlatch.testkit.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Passes datagrams on, with one socket towards the target for each sender. */
final class UdpRelay {

  private final EventLoopGroup group;
  private final InetSocketAddress target;
  private final RelayFaults faults;
  private final Map<InetSocketAddress, Channel> bySender = new HashMap<>();
  private Channel listener;

  private UdpRelay(EventLoopGroup group, InetSocketAddress target, RelayFaults faults) {
    this.group = group;
    this.target = target;
    this.faults = faults;
  }

  /** Returns a relay bound to the address, null if the address is taken. */
  static UdpRelay tryBind(
      EventLoopGroup group, InetSocketAddress local, InetSocketAddress target, RelayFaults faults) {
    UdpRelay relay = new UdpRelay(group, target, faults);
    ChannelFuture bound = relay.open(relay.new FromSenders(), local).awaitUninterruptibly();
    relay.listener = bound.channel();
    return bound.isSuccess() ? relay : null;
  }

  private ChannelFuture open(
      SimpleChannelInboundHandler<DatagramPacket> handler, InetSocketAddress local) {
    return new Bootstrap()
        .group(group)
        .channel(NioDatagramChannel.class)
        .handler(handler)
        .bind(local);
  }

  void close() {
    listener.close().syncUninterruptibly();
  }

  private void pass(Channel through, ByteBuf content, InetSocketAddress to) {
    if (faults.losesDatagram()) {
      return;
    }
    DatagramPacket packet = new DatagramPacket(content.retain(), to);
    long nanos = faults.delay().toNanos();
    through.eventLoop().schedule(() -> through.writeAndFlush(packet), nanos, TimeUnit.NANOSECONDS);
  }

  private final class FromSenders extends SimpleChannelInboundHandler<DatagramPacket> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      Channel outward = bySender.computeIfAbsent(packet.sender(), this::openFor);
      pass(outward, packet.content(), target);
    }

    private Channel openFor(InetSocketAddress sender) {
      InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
      return open(new FromTarget(sender), anyPort).channel();
    }
  }

  private final class FromTarget extends SimpleChannelInboundHandler<DatagramPacket> {

    private final InetSocketAddress sender;

    private FromTarget(InetSocketAddress sender) {
      this.sender = sender;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      pass(listener, packet.content(), sender);
    }
  }
}
