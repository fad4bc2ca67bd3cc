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

  private static final long RECEIVE_TIMEOUT_SECONDS = 20;
  private static final int LARGE_MESSAGE_BYTES = 60_000;

  private final BlockingQueue<ControlMessage> received = new LinkedBlockingQueue<>();
  private final ControlTransport sender = bind("mesh", new LinkedBlockingQueue<>());
  private final ControlTransport receiver = bind("mesh", received);

  private static ControlTransport bind(String mesh, BlockingQueue<ControlMessage> queue) {
    ControlFrameCodec codec =
        ControlFrameCodec.of(mesh, List.of(new MembershipCodec(), new SpreadCodec()));
    return ControlTransport.bind(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        codec,
        Runnable::run,
        (from, message) -> queue.add(message),
        address -> true);
  }

  @AfterEach
  void close() {
    sender.close();
    receiver.close();
  }

  private ControlMessage nextReceived() throws InterruptedException {
    return received.poll(RECEIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private static Checkpoint largeMessage() {
    byte[] content = new byte[LARGE_MESSAGE_BYTES];
    new SplittableRandom(1).nextBytes(content);
    return new Checkpoint(7, Bytes.copyOf(content));
  }

  @Test
  void sendsSmallMessagesAsDatagrams() throws InterruptedException {
    sender.send(receiver.address(), new Pull(3));
    assertThat(nextReceived(), is(new Pull(3)));
    assertThat(receiver.counters().of(Protocol.SPREAD).messagesIn(), is(1L));
    assertThat(sender.counters().acrossRegions().messagesOut(), is(1L));
  }

  @Test
  void sendsLargeMessagesOverConnection() throws InterruptedException {
    sender.send(receiver.address(), largeMessage());
    assertThat(nextReceived(), is(largeMessage()));
  }

  @Nested
  class WithUnreadableFrames {

    @Test
    void countsFramesOfAnotherMesh() throws InterruptedException {
      ControlTransport memberOfAnotherMesh = bind("another", new LinkedBlockingQueue<>());
      memberOfAnotherMesh.send(receiver.address(), new FloorQuery("x"));
      sender.send(receiver.address(), new Pull(1));
      awaitFrameOfAnotherMesh();
      memberOfAnotherMesh.close();
      assertThat(nextReceived(), is(new Pull(1)));
      assertThat(receiver.counters().strangers(), is(1L));
    }

    private void awaitFrameOfAnotherMesh() {
      while (receiver.counters().strangers() == 0) {
        Thread.onSpinWait();
      }
    }

    @Test
    void continuesAfterMalformedDatagram() throws IOException, InterruptedException {
      Address to = receiver.address();
      try (DatagramSocket socket = new DatagramSocket()) {
        byte[] malformed = {(byte) 0xff, 1, 2, 3};
        InetAddress host = InetAddress.getByName(to.host());
        socket.send(new DatagramPacket(malformed, malformed.length, host, to.port()));
      }
      sender.send(to, new Pull(2));
      assertThat(nextReceived(), is(new Pull(2)));
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
  class WhenPeerDoesNotConfirmFrames {

    @Test
    void resendsTheFrameOnNewConnection() throws IOException {
      TransportCounters counters = new TransportCounters();
      var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
      PeerConnections connections = new PeerConnections(group, counters, Duration.ofMillis(200));
      try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
        String host = server.getInetAddress().getHostAddress();
        connections.send(new Address(host, server.getLocalPort()), new byte[] {42});
        Socket unconfirmed = server.accept();
        assertThat(readFrame(unconfirmed), is((byte) 42));
        Socket reconnected = server.accept();
        assertThat(readFrame(reconnected), is((byte) 42));
        new DataOutputStream(reconnected.getOutputStream()).writeInt(0);
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
