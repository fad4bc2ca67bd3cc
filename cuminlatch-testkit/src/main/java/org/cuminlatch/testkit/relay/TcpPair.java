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

/** A connection to the relay and the one that it is passed on to. */
final class TcpPair {

  private final Channel near;
  private final RelayFaults faults;
  private Channel far;
  private volatile boolean silent;

  TcpPair(Channel near, RelayFaults faults) {
    this.near = near;
    this.faults = faults;
  }

  void connect(InetSocketAddress target) {
    ChannelFuture connecting =
        new Bootstrap()
            .group(near.eventLoop())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.AUTO_READ, false)
            .handler(new Forwarder(near))
            .connect(target);
    far = connecting.channel();
    near.pipeline().addLast(new Forwarder(far));
    connecting.addListener(connected -> begin(connected.isSuccess()));
  }

  private void begin(boolean connected) {
    if (connected) {
      near.config().setAutoRead(true);
      far.config().setAutoRead(true);
    } else {
      near.close();
    }
  }

  void silence() {
    silent = true;
  }

  void close() {
    near.close();
    if (far != null) {
      far.close();
    }
  }

  private final class Forwarder extends ChannelInboundHandlerAdapter {

    private final Channel other;

    private Forwarder(Channel other) {
      this.other = other;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (silent || faults.blocked()) {
        silent = true;
        ReferenceCountUtil.release(message);
        return;
      }
      long nanos = faults.delay().toNanos();
      if (nanos == 0) {
        other.writeAndFlush(message);
      } else {
        context
            .executor()
            .schedule(() -> other.writeAndFlush(message), nanos, TimeUnit.NANOSECONDS);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (!silent) {
        long nanos = faults.delay().toNanos();
        context.executor().schedule(() -> other.close(), nanos, TimeUnit.NANOSECONDS);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
