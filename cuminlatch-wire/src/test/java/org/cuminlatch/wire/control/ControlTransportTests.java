package org.cuminlatch.wire.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.control.ControlMessage;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.MembershipMessage.FloorQuery;
import org.cuminlatch.core.spread.SpreadMessage.Checkpoint;
import org.cuminlatch.core.spread.SpreadMessage.Pull;
import org.cuminlatch.wire.proto.control.Protocol;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("The control transport")
class ControlTransportTests {

  private static final long LIMIT_SECONDS = 20;
  private static final int LARGE = 60_000;

  private final BlockingQueue<ControlMessage> received = new LinkedBlockingQueue<>();
  private final ControlTransport sender = bind("mesh", new LinkedBlockingQueue<>());
  private final ControlTransport receiver = bind("mesh", received);

  private static ControlTransport bind(String mesh, BlockingQueue<ControlMessage> into) {
    ControlFrameCodec codec =
        ControlFrameCodec.of(mesh, List.of(new MembershipCodec(), new SpreadCodec()));
    return ControlTransport.bind(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        codec,
        Runnable::run,
        (from, message) -> into.add(message),
        address -> true);
  }

  @AfterEach
  void close() {
    sender.close();
    receiver.close();
  }

  private ControlMessage next() throws InterruptedException {
    return received.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
  }

  private static Checkpoint large() {
    byte[] content = new byte[LARGE];
    new SplittableRandom(1).nextBytes(content);
    return new Checkpoint(7, Bytes.copyOf(content));
  }

  @Test
  void carriesSmallMessagesByDatagram() throws InterruptedException {
    sender.send(receiver.address(), new Pull(3));
    assertThat(next(), is(new Pull(3)));
    assertThat(receiver.counters().of(Protocol.SPREAD).messagesIn(), is(1L));
    assertThat(sender.counters().acrossRegions().messagesOut(), is(1L));
  }

  @Test
  void carriesLargeMessagesByConnection() throws InterruptedException {
    sender.send(receiver.address(), large());
    assertThat(next(), is(large()));
  }

  @Nested
  class OnFramesItCannotRead {

    @Test
    void countsStrangers() throws InterruptedException {
      ControlTransport stranger = bind("another", new LinkedBlockingQueue<>());
      stranger.send(receiver.address(), new FloorQuery("x"));
      sender.send(receiver.address(), new Pull(1));
      awaitStranger();
      stranger.close();
      assertThat(next(), is(new Pull(1)));
      assertThat(receiver.counters().strangers(), is(1L));
    }

    private void awaitStranger() {
      while (receiver.counters().strangers() == 0) {
        Thread.onSpinWait();
      }
    }

    @Test
    void survivesGarbage() throws IOException, InterruptedException {
      Address to = receiver.address();
      try (DatagramSocket socket = new DatagramSocket()) {
        byte[] garbage = {(byte) 0xff, 1, 2, 3};
        InetAddress host = InetAddress.getByName(to.host());
        socket.send(new DatagramPacket(garbage, garbage.length, host, to.port()));
      }
      sender.send(to, new Pull(2));
      assertThat(next(), is(new Pull(2)));
    }

    @Test
    void closesConnectionsWithOversizedFrames() throws IOException {
      Address to = receiver.address();
      try (Socket socket = new Socket(to.host(), to.port())) {
        new DataOutputStream(socket.getOutputStream()).writeInt(Integer.MAX_VALUE);
        assertThat(socket.getInputStream().read(), is(-1));
      }
    }
  }

  @Nested
  class WhenConnectionGoesSilent {

    @Test
    void sendsTheFrameAgainOnFreshOne() throws IOException {
      TransportCounters counters = new TransportCounters();
      var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
      PeerConnections connections = new PeerConnections(group, counters, Duration.ofMillis(200));
      try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
        String host = server.getInetAddress().getHostAddress();
        connections.send(new Address(host, server.getLocalPort()), new byte[] {42});
        Socket silent = server.accept();
        assertThat(readFrame(silent), is((byte) 42));
        Socket fresh = server.accept();
        assertThat(readFrame(fresh), is((byte) 42));
        new DataOutputStream(fresh.getOutputStream()).writeInt(0);
        assertThat(counters.silentConnections(), is(1L));
      } finally {
        connections.close();
        assertThat(group.shutdownGracefully(0, 1, TimeUnit.SECONDS), notNullValue());
      }
    }

    private byte readFrame(Socket socket) throws IOException {
      DataInputStream input = new DataInputStream(socket.getInputStream());
      assertThat(input.readInt(), is(1));
      return input.readByte();
    }
  }
}
