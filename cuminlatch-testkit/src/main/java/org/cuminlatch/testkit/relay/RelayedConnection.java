package org.cuminlatch.testkit.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** An inbound TCP connection and the outbound connection to which it is forwarded. */
final class RelayedConnection {

  private final Channel inbound;
  private final RelayFaults faults;
  private Channel outbound;
  private volatile boolean silent;

  RelayedConnection(Channel inbound, RelayFaults faults) {
    this.inbound = inbound;
    this.faults = faults;
  }

  void connect(InetSocketAddress target) {
    ChannelFuture connectFuture =
        new Bootstrap()
            .group(inbound.eventLoop())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.AUTO_READ, false)
            .handler(new Forwarder(inbound))
            .connect(target);
    outbound = connectFuture.channel();
    inbound.pipeline().addLast(new Forwarder(outbound));
    connectFuture.addListener(connected -> startForwarding(connected.isSuccess()));
  }

  private void startForwarding(boolean connected) {
    if (connected) {
      inbound.config().setAutoRead(true);
      outbound.config().setAutoRead(true);
    } else {
      inbound.close();
    }
  }

  void silence() {
    silent = true;
  }

  void close() {
    inbound.close();
    if (outbound != null) {
      outbound.close();
    }
  }

  private final class Forwarder extends ChannelInboundHandlerAdapter {

    private final Channel destination;

    private Forwarder(Channel destination) {
      this.destination = destination;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (silent || faults.blocked()) {
        silent = true;
        ReferenceCountUtil.release(message);
        return;
      }
      long delayNanos = faults.delay().toNanos();
      if (delayNanos == 0) {
        destination.writeAndFlush(message);
      } else {
        context
            .executor()
            .schedule(() -> destination.writeAndFlush(message), delayNanos, TimeUnit.NANOSECONDS);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (!silent) {
        long delayNanos = faults.delay().toNanos();
        context.executor().schedule(() -> destination.close(), delayNanos, TimeUnit.NANOSECONDS);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
