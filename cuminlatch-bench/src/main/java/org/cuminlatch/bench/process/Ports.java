package org.cuminlatch.bench.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/** Hands out loopback ports that are free for TCP and UDP and were not handed out before. */
final class Ports {

  private static final Set<Integer> TAKEN = new HashSet<>();

  private Ports() {}

  static synchronized int free() {
    while (true) {
      try (ServerSocket tcp = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        int port = tcp.getLocalPort();
        if (isFreeForUdp(port) && TAKEN.add(port)) {
          return port;
        }
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  private static boolean isFreeForUdp(int port) {
    try (DatagramSocket udp = new DatagramSocket(port, InetAddress.getLoopbackAddress())) {
      return udp.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
