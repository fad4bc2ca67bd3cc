package org.cuminlatch.wire.control;

import static org.cuminlatch.core.Preconditions.notNull;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.cuminlatch.core.control.ControlMessage;
import org.cuminlatch.core.control.Outbox;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;
import org.cuminlatch.core.membership.Address;

/**
 * Transports control messages between nodes: small messages over UDP, larger ones over TCP on the
 * same port number.
 *
 * <p>Decoded messages are passed to a listener on the given executor, which is the control thread
 * of the node. Delivery is not guaranteed.
 */
public final class ControlTransport implements Outbox, AutoCloseable {

  /** Maximum size of a frame that is sent over UDP, in bytes. */
  public static final int MAX_DATAGRAM_BYTES = 1_200;

  private static final int RECEIVE_BUFFER_BYTES = 2_048;
  private static final int BIND_ATTEMPTS = 20;

  /** With a period of 0, an event loop that is running tasks can end with its channels open. */
  private static final long SHUTDOWN_QUIET_PERIOD_MILLIS = 1;

  private static final long SHUTDOWN_TIMEOUT_MILLIS = 1000;

  private final ControlFrameCodec codec;
  private final Executor executor;
  private final MessageListener listener;
  private final Predicate<Address> isInOtherRegion;
  private final TransportCounters counters = new TransportCounters();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final PeerConnections connections;
  private Channel server;
  private Channel datagrams;
  private Address address;

  /** Listener for received messages. */
  @FunctionalInterface
  public interface MessageListener {

    /**
     * Called for each received message, on the executor of the transport.
     *
     * @param from control address of the sender
     * @param message the message
     */
    void onMessage(Address from, ControlMessage message);
  }

  private ControlTransport(
      ControlFrameCodec codec,
      Executor executor,
      MessageListener listener,
      Predicate<Address> isInOtherRegion) {
    this.codec = codec;
    this.executor = executor;
    this.listener = listener;
    this.isInOtherRegion = isInOtherRegion;
    this.connections = new PeerConnections(group, counters);
  }

  /**
   * Binds a transport.
   *
   * @param bind address to listen on; port 0 selects a free port
   * @param codec codec of the frames
   * @param executor executor on which the listener is called
   * @param listener receives the messages
   * @param isInOtherRegion tests whether an address belongs to another region, for the counters
   * @return the transport
   * @throws CuminlatchException with {@code INVALID_SETTING} if the address can't be bound
   */
  public static ControlTransport bind(
      InetSocketAddress bind,
      ControlFrameCodec codec,
      Executor executor,
      MessageListener listener,
      Predicate<Address> isInOtherRegion) {
    ControlTransport transport =
        new ControlTransport(
            notNull(codec, "codec"),
            notNull(executor, "executor"),
            notNull(listener, "listener"),
            notNull(isInOtherRegion, "isInOtherRegion"));
    try {
      transport.bindTcpAndUdp(notNull(bind, "bind"));
      return transport;
    } catch (CuminlatchException e) {
      transport.close();
      throw e;
    }
  }

  private void bindTcpAndUdp(InetSocketAddress bind) {
    int attempts = bind.getPort() == 0 ? BIND_ATTEMPTS : 1;
    Throwable cause = null;
    for (int i = 0; i < attempts; i++) {
      var tcpBinding = tcpServerBootstrap().bind(bind).awaitUninterruptibly();
      if (!tcpBinding.isSuccess()) {
        cause = tcpBinding.cause();
        continue;
      }
      var local = (InetSocketAddress) tcpBinding.channel().localAddress();
      var udp = udp().bind(local).awaitUninterruptibly();
      if (udp.isSuccess()) {
        server = tcpBinding.channel();
        datagrams = udp.channel();
        address = new Address(local.getAddress().getHostAddress(), local.getPort());
        return;
      }
      cause = udp.cause();
      tcpBinding.channel().close().awaitUninterruptibly();
    }
    throw CuminlatchException.of(
        ErrorCode.INVALID_SETTING,
        Step.SETTINGS,
        "-",
        "cannot bind the control address " + bind,
        cause);
  }

  private ServerBootstrap tcpServerBootstrap() {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                PeerConnections.addFraming(channel.pipeline());
                channel.pipeline().addLast(new TcpFrameHandler());
              }
            });
  }

  private Bootstrap udp() {
    return new Bootstrap()
        .group(group)
        .channel(NioDatagramChannel.class)
        .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
        .option(
            ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(RECEIVE_BUFFER_BYTES))
        .handler(new UdpDatagramHandler());
  }

  /**
   * Returns the address that the transport is bound to.
   *
   * @return IP address and port, which is the same for UDP and TCP
   */
  public Address address() {
    return address;
  }

  /**
   * Returns the counters of the transport.
   *
   * @return the counters, updated continuously
   */
  public TransportCounters counters() {
    return counters;
  }

  @Override
  public void send(Address to, ControlMessage message) {
    ControlFrameCodec.EncodedFrame frame = codec.encode(address, message);
    int length = frame.bytes().length;
    if (length > ControlFrameCodec.MAX_FRAME_BYTES) {
      counters.countDropped();
      return;
    }
    counters.countOut(frame.protocol(), length, isInOtherRegion.test(to));
    if (length <= MAX_DATAGRAM_BYTES) {
      var target = new InetSocketAddress(to.host(), to.port());
      var packet = new DatagramPacket(Unpooled.wrappedBuffer(frame.bytes()), target);
      datagrams.writeAndFlush(packet, datagrams.voidPromise());
    } else {
      connections.send(to, frame.bytes());
    }
  }

  private void receive(byte[] bytes) {
    Optional<ControlFrameCodec.DecodedFrame> decoded;
    try {
      decoded = codec.decode(bytes);
    } catch (CuminlatchException e) {
      counters.countMalformed();
      return;
    }
    if (decoded.isEmpty()) {
      counters.countStranger();
      return;
    }
    Address from = decoded.get().sender();
    counters.countIn(decoded.get().protocol(), bytes.length, isInOtherRegion.test(from));
    executor.execute(() -> listener.onMessage(from, decoded.get().message()));
  }

  @Override
  public void close() {
    connections.close();
    if (server != null) {
      server.close().awaitUninterruptibly();
      datagrams.close().awaitUninterruptibly();
    }
    group.shutdownGracefully(
        SHUTDOWN_QUIET_PERIOD_MILLIS, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private static byte[] bytesOf(ByteBuf buffer) {
    byte[] bytes = new byte[buffer.readableBytes()];
    buffer.readBytes(bytes);
    return bytes;
  }

  private final class UdpDatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      receive(bytesOf(packet.content()));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      counters.countDropped();
    }
  }

  private final class TcpFrameHandler extends SimpleChannelInboundHandler<ByteBuf> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
      receive(bytesOf(frame));
      context.writeAndFlush(Unpooled.EMPTY_BUFFER);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      counters.countMalformed();
      context.close();
    }
  }
}
