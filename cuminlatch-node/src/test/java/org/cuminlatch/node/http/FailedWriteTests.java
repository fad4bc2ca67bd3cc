package org.cuminlatch.node.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cuminlatch.core.membership.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a server that takes later bytes for those that could not be written. */
@DisplayName("A request of which a part can't be written for lack of memory")
class FailedWriteTests {

  private static final int WAIT_SECONDS = 5;
  private static final int PART_BYTES = 64 * 1024;
  private static final int PARTS = 3;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final RequestEnd end = new RequestEnd();
  private ServerSocket listener;

  @BeforeEach
  void listen() throws IOException {
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void stop() throws IOException {
    listener.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  /** Fails the write of one of the parts of a body. */
  private static final class FailingWrite extends ChannelOutboundHandlerAdapter {

    private final int failingPart;
    private int parts;

    FailingWrite(int failingPart) {
      this.failingPart = failingPart;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      if (((ByteBuf) message).readableBytes() >= PART_BYTES && ++parts == failingPart) {
        ReferenceCountUtil.release(message);
        promise.setFailure(new OutOfMemoryError("no direct memory"));
      } else {
        context.write(message, promise);
      }
    }
  }

  /** Opens a connection on which the write of a part fails, and uses it on its event loop. */
  private void connect(int failingPart, Consumer<ClientConnection> use) {
    HttpClient client =
        new HttpClient(
            group,
            new Address("127.0.0.1", listener.getLocalPort()),
            InstantSource.system(),
            Duration.ofSeconds(WAIT_SECONDS),
            1 << 20,
            2 << 20);
    new Bootstrap()
        .group(group)
        .channelFactory(ProbedSocketChannel::new)
        .handler(
            new ChannelInitializer<ProbedSocketChannel>() {
              @Override
              protected void initChannel(ProbedSocketChannel channel) {
                channel.pipeline().addLast(new FailingWrite(failingPart));
                new ClientConnection(client, channel, 1 << 20).addTo(channel.pipeline());
              }
            })
        .connect(listener.getLocalSocketAddress())
        .addListener(
            (ChannelFuture opened) ->
                use.accept(opened.channel().pipeline().get(ClientConnection.class)));
  }

  private static ClientRequest request(byte[] body) {
    return new ClientRequest(
        "POST",
        "/",
        List.of(Map.entry("Host", "shop.example")),
        body,
        Duration.ofSeconds(1),
        response -> ResponseOwner.THIS_REQUEST);
  }

  private void stream(ClientConnection connection, long length) {
    ClientRequest upload = request(new byte[0]);
    connection.reserve(end);
    connection.start(upload, length);
    for (int i = 1; i <= PARTS; i++) {
      connection.sendPart(upload, new byte[PART_BYTES], i == PARTS);
    }
  }

  /** Returns how many bytes reach the server until its connection is closed. */
  private int readToEnd() throws IOException {
    int bytes = 0;
    byte[] buffer = new byte[PART_BYTES];
    try (Socket socket = listener.accept()) {
      socket.setSoTimeout(WAIT_SECONDS * 1000);
      for (int read = 0; read >= 0; read = socket.getInputStream().read(buffer)) {
        bytes += read;
      }
      return bytes;
    } catch (SocketTimeoutException stillOpen) {
      throw new AssertionError("connection is still open after " + bytes + " bytes", stillOpen);
    }
  }

  private void assertThatRequestFails() throws Exception {
    Object result = end.await(WAIT_SECONDS);
    assertThat(result, instanceOf(ClientListener.Failure.class));
    assertThat(((ClientListener.Failure) result).sent(), is(true));
  }

  @ParameterizedTest
  @ValueSource(longs = {PARTS * PART_BYTES, -1})
  void endsWithItsConnectionBeforeTheNextPart(long length) throws Exception {
    connect(2, connection -> stream(connection, length));

    assertThat(readToEnd(), lessThan(2 * PART_BYTES));
    assertThatRequestFails();
  }

  @Test
  void endsWithItsConnectionIfItIsSentInOnePiece() throws Exception {
    connect(1, connection -> connection.send(request(new byte[PART_BYTES]), end));

    assertThat(readToEnd(), lessThan(PART_BYTES));
    assertThatRequestFails();
  }
}
