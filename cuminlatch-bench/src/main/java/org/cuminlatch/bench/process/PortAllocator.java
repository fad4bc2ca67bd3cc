package org.cuminlatch.bench.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/** Allocates loopback ports that are free for TCP and UDP; no port is allocated twice. */
final class PortAllocator {

  private static final Set<Integer> ALLOCATED = new HashSet<>();

  private PortAllocator() {}

  static synchronized int allocate() {
    while (true) {
      try (ServerSocket tcp = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        int port = tcp.getLocalPort();
        if (isFreeForUdp(port) && ALLOCATED.add(port)) {
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
