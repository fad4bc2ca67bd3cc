package org.cuminlatch.testkit.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The relay")
class RelayTests {

  private static final int SILENCE_MILLIS = 100;
  private static final int PATIENCE_MILLIS = 10_000;

  private ServerSocket server;
  private Relay relay;

  @BeforeEach
  void startRelay() throws IOException {
    server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    relay = Relay.to(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()));
  }

  @AfterEach
  void closeRelay() throws IOException {
    relay.close();
    server.close();
  }

  private Pair connect() throws IOException {
    Socket near = new Socket("127.0.0.1", relay.port());
    Socket far = server.accept();
    near.setSoTimeout(PATIENCE_MILLIS);
    far.setSoTimeout(PATIENCE_MILLIS);
    return new Pair(near, far);
  }

  @Test
  void passesBytesBothWays() throws IOException {
    try (Pair pair = connect()) {
      pair.near().getOutputStream().write(1);
      assertThat(pair.far().getInputStream().read(), is(1));
      pair.far().getOutputStream().write(2);
      assertThat(pair.near().getInputStream().read(), is(2));
    }
  }

  @Test
  void silencesOpenConnectionsWhileNewOnesWork() throws IOException {
    try (Pair old = connect()) {
      relay.silence();
      try (Pair fresh = connect()) {
        old.near().getOutputStream().write(1);
        fresh.near().getOutputStream().write(2);
        assertThat(fresh.far().getInputStream().read(), is(2));
        old.far().setSoTimeout(SILENCE_MILLIS);
        assertThrows(SocketTimeoutException.class, () -> old.far().getInputStream().read());
      }
    }
  }

  @Test
  void cutsOpenConnections() throws IOException {
    try (Pair pair = connect()) {
      pair.near().getOutputStream().write(1);
      assertThat(pair.far().getInputStream().read(), is(1));
      relay.cut();
      assertThat(pair.far().getInputStream().read(), is(-1));
    }
  }

  @Test
  void closesNewConnectionsWhileTheSidesAreParted() throws IOException {
    relay.block(true);
    try (Socket near = new Socket("127.0.0.1", relay.port())) {
      near.setSoTimeout(PATIENCE_MILLIS);
      assertThat(near.getInputStream().read(), is(-1));
    }
  }

  @Test
  void passesDatagramsBothWaysAndLosesThemWhenAsked() throws IOException {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (DatagramSocket far = new DatagramSocket(server.getLocalPort(), loopback);
        DatagramSocket near = new DatagramSocket(0, loopback)) {
      far.setSoTimeout(PATIENCE_MILLIS);
      near.setSoTimeout(PATIENCE_MILLIS);
      near.send(packet(5, loopback, relay.port()));
      DatagramPacket arrived = packet(0, loopback, 1);
      far.receive(arrived);
      assertThat(arrived.getData()[0], is((byte) 5));
      far.send(packet(6, loopback, arrived.getPort()));
      DatagramPacket answer = packet(0, loopback, 1);
      near.receive(answer);
      assertThat(answer.getData()[0], is((byte) 6));
      relay.dropDatagrams(1);
      near.send(packet(7, loopback, relay.port()));
      far.setSoTimeout(SILENCE_MILLIS);
      assertThrows(SocketTimeoutException.class, () -> far.receive(arrived));
    }
  }

  private static DatagramPacket packet(int content, InetAddress host, int port) {
    return new DatagramPacket(new byte[] {(byte) content}, 1, host, port);
  }

  private record Pair(Socket near, Socket far) implements AutoCloseable {

    @Override
    public void close() throws IOException {
      near.close();
      far.close();
    }
  }
}
