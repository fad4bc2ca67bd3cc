package org.cuminlatch.wire.call;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.wire.proto.call.CallFrame;

/** Opens and accepts the TCP connections for forwarded calls. */
public final class CallTransport implements AutoCloseable {

  /** Maximum size of a frame in bytes. */
  public static final int MAX_FRAME_BYTES = 1 << 20;

  /**
   * Time without a received frame after which an accepted connection is closed.
   *
   * <p>No frame can arrive on the connection after that. An attempt that the peer has withdrawn on
   * another connection therefore has to be remembered only slightly longer than this timeout.
   */
  public static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

  /** Maximum number of reads from one connection before the others get their turn. */
  private static final int MAX_READS_PER_ROUND = 16;

  private static final int LENGTH_BYTES = 4;

  /** With a period of 0, an event loop that is running tasks can end with its channels open. */
  private static final Duration SHUTDOWN_QUIET_PERIOD = Duration.ofMillis(1);

  private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(2);

  private final EventLoopGroup group;
  private final boolean ownsGroup;

  private CallTransport(EventLoopGroup group, boolean ownsGroup) {
    this.group = group;
    this.ownsGroup = ownsGroup;
  }

  /**
   * Creates a transport with its own threads.
   *
   * @param threads number of threads
   * @return the transport
   */
  public static CallTransport start(int threads) {
    check(threads >= 1, "threads", "must be at least 1");
    return new CallTransport(
        new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory()), true);
  }

  /**
   * Creates a transport on threads that also serve other connections.
   *
   * @param group the threads; {@link #close} does not stop them
   * @return the transport
   */
  public static CallTransport withGroup(EventLoopGroup group) {
    return new CallTransport(notNull(group, "group"), false);
  }

  /**
   * Accepts connections.
   *
   * @param address address to listen on; port 0 selects a free port
   * @param handler handles the received frames
   * @return the address that is bound
   * @throws CuminlatchException with {@code INVALID_SETTING} if the address can't be bound
   */
  public InetSocketAddress listen(InetSocketAddress address, CallFrameHandler handler) {
    notNull(handler, "handler");
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            // read until nothing is left, so that a close is seen together with what precedes it
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator()
                    .respectMaybeMoreData(false)
                    .maxMessagesPerRead(MAX_READS_PER_ROUND))
            .childHandler(initializer(handler, true));
    ChannelFuture binding = bootstrap.bind(address).awaitUninterruptibly();
    if (!binding.isSuccess()) {
      throw CuminlatchException.of(
          ErrorCode.INVALID_SETTING,
          Step.SETTINGS,
          address.toString(),
          "cannot bind the address for forwarded calls",
          binding.cause());
    }
    return (InetSocketAddress) binding.channel().localAddress();
  }

  /**
   * Opens a connection.
   *
   * @param address address of the peer
   * @param timeout maximum time to wait for the connection
   * @param handler handles the received frames
   * @return the connection; fails with {@code PEER_UNAVAILABLE} if it can't be opened
   */
  public CompletableFuture<CallChannel> connect(
      Address address, Duration timeout, CallFrameHandler handler) {
    notNull(address, "address");
    CompletableFuture<CallChannel> result = new CompletableFuture<>();
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
        .handler(initializer(notNull(handler, "handler"), false))
        .connect(address.host(), address.port())
        .addListener((ChannelFuture connecting) -> complete(connecting, address, result));
    return result;
  }

  @Override
  public void close() {
    if (!ownsGroup) {
      return;
    }
    group
        .shutdownGracefully(
            SHUTDOWN_QUIET_PERIOD.toMillis(), SHUTDOWN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(SHUTDOWN_TIMEOUT.toMillis());
  }

  private static void complete(
      ChannelFuture connecting, Address address, CompletableFuture<CallChannel> result) {
    if (connecting.isSuccess()) {
      result.complete(connecting.channel().pipeline().get(CallChannelHandler.class).callChannel());
      return;
    }
    result.completeExceptionally(
        CuminlatchException.of(
            ErrorCode.PEER_UNAVAILABLE,
            Step.FORWARD,
            address.toString(),
            "cannot open a connection for forwarded calls",
            connecting.cause()));
  }

  private static ChannelInitializer<SocketChannel> initializer(
      CallFrameHandler handler, boolean accepted) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        if (accepted) {
          channel.pipeline().addLast(new ReadTimeoutHandler((int) IDLE_TIMEOUT.toSeconds()));
        }
        addHandlers(channel, handler);
      }
    };
  }

  private static void addHandlers(Channel channel, CallFrameHandler handler) {
    channel
        .pipeline()
        .addLast(
            new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
            new ProtobufDecoder(CallFrame.getDefaultInstance()),
            new LengthFieldPrepender(LENGTH_BYTES),
            new ProtobufEncoder(),
            new CallChannelHandler(new NettyCallChannel(channel), handler));
  }
}
