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
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;

@DisplayName("Relay")
class RelayTests {

  private static final int SILENT_READ_TIMEOUT_MILLIS = 100;
  private static final int READ_TIMEOUT_MILLIS = 10_000;

  private ServerSocket serverSocket;
  private Relay relay;

  @BeforeEach
  void startRelay() throws IOException {
    serverSocket = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    relay =
        Relay.to(new InetSocketAddress(serverSocket.getInetAddress(), serverSocket.getLocalPort()));
  }

  @AfterEach
  void closeRelay() throws IOException {
    relay.close();
    serverSocket.close();
  }

  private ConnectionPair connect() throws IOException {
    Socket client = new Socket("127.0.0.1", relay.port());
    Socket server = serverSocket.accept();
    client.setSoTimeout(READ_TIMEOUT_MILLIS);
    server.setSoTimeout(READ_TIMEOUT_MILLIS);
    return new ConnectionPair(client, server);
  }

  @Test
  void forwardsBytesInBothDirections() throws IOException {
    try (ConnectionPair pair = connect()) {
      pair.client().getOutputStream().write(1);
      assertThat(pair.server().getInputStream().read(), is(1));
      pair.server().getOutputStream().write(2);
      assertThat(pair.client().getInputStream().read(), is(2));
    }
  }

  @Test
  void silencesOpenConnectionsButNotNewOnes() throws IOException {
    try (ConnectionPair silenced = connect()) {
      relay.silence();
      try (ConnectionPair unaffected = connect()) {
        silenced.client().getOutputStream().write(1);
        unaffected.client().getOutputStream().write(2);
        assertThat(unaffected.server().getInputStream().read(), is(2));
        silenced.server().setSoTimeout(SILENT_READ_TIMEOUT_MILLIS);
        assertThrows(SocketTimeoutException.class, () -> silenced.server().getInputStream().read());
      }
    }
  }

  @Test
  void closesOpenConnections() throws IOException {
    try (ConnectionPair pair = connect()) {
      pair.client().getOutputStream().write(1);
      assertThat(pair.server().getInputStream().read(), is(1));
      relay.closeConnections();
      assertThat(pair.server().getInputStream().read(), is(-1));
    }
  }

  // guards against bytes that are still forwarded when the connections count as closed
  @RepeatedTest(100)
  void forwardsNothingOnceItHasClosedConnections() throws IOException {
    try (ConnectionPair pair = connect()) {
      pair.client().getOutputStream().write(1);
      pair.server().getInputStream().read();

      relay.closeConnections();
      pair.server().getOutputStream().write(2);

      assertThat(pair.client().getInputStream().read(), is(-1));
    }
  }

  @Test
  void closesNewConnectionsWhileBlocked() throws IOException {
    relay.setBlocked(true);
    try (Socket client = new Socket("127.0.0.1", relay.port())) {
      client.setSoTimeout(READ_TIMEOUT_MILLIS);
      assertThat(client.getInputStream().read(), is(-1));
    }
  }

  @Test
  void forwardsDatagramsInBothDirectionsAndDropsConfiguredShare() throws IOException {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (DatagramSocket server = new DatagramSocket(serverSocket.getLocalPort(), loopback);
        DatagramSocket client = new DatagramSocket(0, loopback)) {
      server.setSoTimeout(READ_TIMEOUT_MILLIS);
      client.setSoTimeout(READ_TIMEOUT_MILLIS);
      client.send(packet(5, loopback, relay.port()));
      DatagramPacket arrived = packet(0, loopback, 1);
      server.receive(arrived);
      assertThat(arrived.getData()[0], is((byte) 5));
      server.send(packet(6, loopback, arrived.getPort()));
      DatagramPacket answer = packet(0, loopback, 1);
      client.receive(answer);
      assertThat(answer.getData()[0], is((byte) 6));
      relay.dropDatagrams(1);
      client.send(packet(7, loopback, relay.port()));
      server.setSoTimeout(SILENT_READ_TIMEOUT_MILLIS);
      assertThrows(SocketTimeoutException.class, () -> server.receive(arrived));
    }
  }

  private static DatagramPacket packet(int content, InetAddress host, int port) {
    return new DatagramPacket(new byte[] {(byte) content}, 1, host, port);
  }

  private record ConnectionPair(Socket client, Socket server) implements AutoCloseable {

    @Override
    public void close() throws IOException {
      client.close();
      server.close();
    }
  }
}
