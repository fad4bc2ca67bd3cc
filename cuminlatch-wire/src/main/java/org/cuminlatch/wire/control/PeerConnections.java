package org.cuminlatch.wire.control;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cuminlatch.core.membership.Address;

/**
 * Outgoing TCP connections, one for each peer, which are opened on demand and closed when idle.
 *
 * <p>The receiver confirms each frame with an empty one. A connection on which a frame is not
 * confirmed in time is regarded as silent: it is replaced by a new connection, on which the
 * unconfirmed frames are sent again. A frame may therefore arrive twice. All state is confined to
 * the event loop.
 */
final class PeerConnections {

  static final Duration CONFIRMATION_TIMEOUT = Duration.ofSeconds(2);
  static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

  private static final int LENGTH_BYTES = 4;
  private static final int MAX_UNCONFIRMED_FRAMES = 16;
  private static final int MAX_RECONNECTS = 2;
  private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

  private final EventLoop loop;
  private final TransportCounters counters;
  private final Duration confirmationTimeout;
  private final Map<Address, Peer> peers = new HashMap<>();

  PeerConnections(EventLoopGroup group, TransportCounters counters) {
    this(group, counters, CONFIRMATION_TIMEOUT);
  }

  PeerConnections(EventLoopGroup group, TransportCounters counters, Duration confirmationTimeout) {
    this.loop = group.next();
    this.counters = counters;
    this.confirmationTimeout = confirmationTimeout;
  }

  static void addFraming(ChannelPipeline pipeline) {
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(
            ControlFrameCodec.MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
    pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
  }

  void send(Address to, byte[] frame) {
    loop.execute(() -> peers.computeIfAbsent(to, Peer::new).send(frame));
  }

  void close() {
    loop.execute(
        () -> {
          peers.values().forEach(Peer::closeChannel);
          peers.clear();
        });
  }

  private final class Peer {
    private final Address address;
    private final Deque<byte[]> unconfirmedFrames = new ArrayDeque<>();
    private Channel channel;
    private Future<?> timer;
    private int reconnects;

    private Peer(Address address) {
      this.address = address;
    }

    private void send(byte[] frame) {
      if (unconfirmedFrames.size() >= MAX_UNCONFIRMED_FRAMES) {
        counters.countDropped();
        return;
      }
      unconfirmedFrames.add(frame);
      if (channel == null) {
        connect();
      } else if (channel.isActive()) {
        write(frame);
      }
      startTimer(confirmationTimeout);
    }

    private void connect() {
      ChannelFuture connecting =
          new Bootstrap()
              .group(loop)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
              .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
              .handler(new PeerChannelInitializer(this))
              .connect(address.host(), address.port());
      channel = connecting.channel();
      Channel connectingChannel = channel;
      connecting.addListener(
          result -> {
            if (channel != connectingChannel) {
              connectingChannel.close();
            } else if (result.isSuccess()) {
              unconfirmedFrames.forEach(this::write);
            } else {
              discard();
            }
          });
    }

    private void write(byte[] frame) {
      channel.writeAndFlush(Unpooled.wrappedBuffer(frame), channel.voidPromise());
    }

    private void onConfirmation() {
      unconfirmedFrames.poll();
      reconnects = 0;
      startTimer(unconfirmedFrames.isEmpty() ? IDLE_TIMEOUT : confirmationTimeout);
    }

    private void startTimer(Duration duration) {
      if (timer != null) {
        timer.cancel(false);
      }
      timer = loop.schedule(this::onTimer, duration.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void onTimer() {
      if (unconfirmedFrames.isEmpty() || reconnects >= MAX_RECONNECTS) {
        discard();
        return;
      }
      counters.countSilentConnection();
      reconnects++;
      closeChannel();
      connect();
      startTimer(confirmationTimeout);
    }

    private void onClosed(Channel closed) {
      if (channel == closed) {
        discard();
      }
    }

    private void discard() {
      unconfirmedFrames.forEach(frame -> counters.countDropped());
      unconfirmedFrames.clear();
      closeChannel();
      peers.remove(address, this);
    }

    private void closeChannel() {
      if (timer != null) {
        timer.cancel(false);
      }
      if (channel != null) {
        Channel closing = channel;
        channel = null;
        closing.close();
      }
    }
  }

  private static final class PeerChannelInitializer extends ChannelInitializer<SocketChannel> {
    private final Peer peer;

    private PeerChannelInitializer(Peer peer) {
      this.peer = peer;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
      addFraming(channel.pipeline());
      channel
          .pipeline()
          .addLast(
              new SimpleChannelInboundHandler<ByteBuf>() {
                @Override
                protected void channelRead0(ChannelHandlerContext context, ByteBuf confirmation) {
                  peer.onConfirmation();
                }

                @Override
                public void channelInactive(ChannelHandlerContext context) {
                  peer.onClosed(context.channel());
                }

                @Override
                public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                  context.close();
                }
              });
    }
  }
}
