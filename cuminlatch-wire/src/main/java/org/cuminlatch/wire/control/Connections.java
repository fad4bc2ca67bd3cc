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
 * Outgoing TCP connections, one for each peer, opened when needed and closed when idle.
 *
 * <p>The receiver confirms each frame with an empty one. A connection that leaves a frame
 * unconfirmed for too long has gone silent: it is replaced by a fresh one, on which the frames are
 * sent again. Frames may so arrive twice. All state belongs to the event loop.
 */
final class Connections {

  static final Duration CONFIRM_TIMEOUT = Duration.ofSeconds(2);
  static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

  private static final int LENGTH_BYTES = 4;
  private static final int MAX_UNCONFIRMED = 16;
  private static final int MAX_FRESH_CONNECTIONS = 2;
  private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

  private final EventLoop loop;
  private final TransportCounters counters;
  private final Duration confirmTimeout;
  private final Map<Address, Peer> peers = new HashMap<>();

  Connections(EventLoopGroup group, TransportCounters counters) {
    this(group, counters, CONFIRM_TIMEOUT);
  }

  Connections(EventLoopGroup group, TransportCounters counters, Duration confirmTimeout) {
    this.loop = group.next();
    this.counters = counters;
    this.confirmTimeout = confirmTimeout;
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
    private final Deque<byte[]> unconfirmed = new ArrayDeque<>();
    private Channel channel;
    private Future<?> timer;
    private int freshConnections;

    private Peer(Address address) {
      this.address = address;
    }

    private void send(byte[] frame) {
      if (unconfirmed.size() >= MAX_UNCONFIRMED) {
        counters.countDropped();
        return;
      }
      unconfirmed.add(frame);
      if (channel == null) {
        connect();
      } else if (channel.isActive()) {
        write(frame);
      }
      startTimer(confirmTimeout);
    }

    private void connect() {
      ChannelFuture connecting =
          new Bootstrap()
              .group(loop)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
              .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
              .handler(new Initializer(this))
              .connect(address.host(), address.port());
      channel = connecting.channel();
      Channel connected = channel;
      connecting.addListener(
          done -> {
            if (channel != connected) {
              connected.close();
            } else if (done.isSuccess()) {
              unconfirmed.forEach(this::write);
            } else {
              giveUp();
            }
          });
    }

    private void write(byte[] frame) {
      channel.writeAndFlush(Unpooled.wrappedBuffer(frame), channel.voidPromise());
    }

    private void confirmed() {
      unconfirmed.poll();
      freshConnections = 0;
      startTimer(unconfirmed.isEmpty() ? IDLE_TIMEOUT : confirmTimeout);
    }

    private void startTimer(Duration duration) {
      if (timer != null) {
        timer.cancel(false);
      }
      timer = loop.schedule(this::onTimer, duration.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void onTimer() {
      if (unconfirmed.isEmpty() || freshConnections >= MAX_FRESH_CONNECTIONS) {
        giveUp();
        return;
      }
      counters.countSilentConnection();
      freshConnections++;
      closeChannel();
      connect();
      startTimer(confirmTimeout);
    }

    private void onClosed(Channel closed) {
      if (channel == closed) {
        giveUp();
      }
    }

    private void giveUp() {
      unconfirmed.forEach(frame -> counters.countDropped());
      unconfirmed.clear();
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

  private static final class Initializer extends ChannelInitializer<SocketChannel> {
    private final Peer peer;

    private Initializer(Peer peer) {
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
                  peer.confirmed();
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
