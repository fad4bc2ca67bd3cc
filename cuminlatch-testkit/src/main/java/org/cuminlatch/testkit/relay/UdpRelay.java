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

/** Forwards datagrams, using one socket towards the target for each sender. */
final class UdpRelay {

  private final EventLoopGroup group;
  private final InetSocketAddress target;
  private final RelayFaults faults;
  private final Map<InetSocketAddress, Channel> channelsBySender = new HashMap<>();
  private Channel listener;

  private UdpRelay(EventLoopGroup group, InetSocketAddress target, RelayFaults faults) {
    this.group = group;
    this.target = target;
    this.faults = faults;
  }

  /** Returns a relay bound to the address, or null if the address is already in use. */
  static UdpRelay tryBind(
      EventLoopGroup group, InetSocketAddress local, InetSocketAddress target, RelayFaults faults) {
    UdpRelay relay = new UdpRelay(group, target, faults);
    ChannelFuture bindFuture = relay.open(relay.new SenderHandler(), local).awaitUninterruptibly();
    relay.listener = bindFuture.channel();
    return bindFuture.isSuccess() ? relay : null;
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

  private void forward(Channel channel, ByteBuf content, InetSocketAddress recipient) {
    if (faults.dropsDatagram()) {
      return;
    }
    DatagramPacket packet = new DatagramPacket(content.retain(), recipient);
    long delayNanos = faults.delay().toNanos();
    channel
        .eventLoop()
        .schedule(() -> channel.writeAndFlush(packet), delayNanos, TimeUnit.NANOSECONDS);
  }

  private final class SenderHandler extends SimpleChannelInboundHandler<DatagramPacket> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      Channel targetChannel =
          channelsBySender.computeIfAbsent(packet.sender(), this::openTargetChannel);
      forward(targetChannel, packet.content(), target);
    }

    private Channel openTargetChannel(InetSocketAddress sender) {
      InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
      return open(new TargetHandler(sender), anyPort).channel();
    }
  }

  private final class TargetHandler extends SimpleChannelInboundHandler<DatagramPacket> {

    private final InetSocketAddress sender;

    private TargetHandler(InetSocketAddress sender) {
      this.sender = sender;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      forward(listener, packet.content(), sender);
    }
  }
}
