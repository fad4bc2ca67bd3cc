package org.cuminlatch.bench.spread;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.cuminlatch.core.control.ControlMessage;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Locality.Distance;
import org.cuminlatch.wire.control.ControlFrameCodec;
import org.cuminlatch.wire.control.ControlTransport;
import org.cuminlatch.wire.control.MembershipCodec;
import org.cuminlatch.wire.control.SpreadCodec;

/**
 * Network with the latencies of two regions; every message is encoded and decoded by the real
 * codecs and counted with the headers of IP, UDP and TCP.
 */
final class MeshNetwork {

  static final Duration BETWEEN_ZONES = Duration.ofMillis(1);
  static final Duration BETWEEN_REGIONS = Duration.ofMillis(8);
  static final int UDP_HEADER_BYTES = 28;

  private static final Duration IN_ZONE = Duration.ofNanos(300_000);
  private static final Duration RETRANSMISSION = Duration.ofMillis(200);
  private static final int TCP_HEADER_BYTES = 40;
  private static final int TCP_SEGMENT_BYTES = 1_448;
  private static final int TCP_SETUP_BYTES = 7 * TCP_HEADER_BYTES + 8;

  /** Takes decoded messages. */
  interface Endpoint {
    void receive(Address from, ControlMessage message);
  }

  private record Port(Locality locality, Endpoint endpoint, Traffic traffic) {}

  private final VirtualTime time;
  private final SplittableRandom random;
  private final ControlFrameCodec codec =
      ControlFrameCodec.of("yagmur-hasat", List.of(new MembershipCodec(), new SpreadCodec()));
  private final Map<Address, Port> ports = new HashMap<>();
  private final Traffic total = new Traffic();
  private final Traffic link = new Traffic();
  private final Map<String, Traffic> byKind = new HashMap<>();
  private double loss;
  private boolean regionsCut;

  MeshNetwork(VirtualTime time, long seed) {
    this.time = time;
    this.random = new SplittableRandom(seed);
  }

  /** Messages and bytes sent and received. */
  static final class Traffic {
    long messages;
    long bytesOut;
    long bytesIn;

    void out(int bytes) {
      messages++;
      bytesOut += bytes;
    }

    void reset() {
      messages = 0;
      bytesOut = 0;
      bytesIn = 0;
    }
  }

  void attach(Address address, Locality locality, Endpoint endpoint) {
    Traffic traffic = ports.containsKey(address) ? ports.get(address).traffic() : new Traffic();
    ports.put(address, new Port(locality, endpoint, traffic));
  }

  void detach(Address address) {
    Port port = ports.get(address);
    ports.put(address, new Port(port.locality(), (from, message) -> {}, port.traffic()));
  }

  void lose(double share) {
    loss = share;
  }

  void cutRegions(boolean cut) {
    regionsCut = cut;
  }

  void send(Address from, Address to, ControlMessage message) {
    byte[] frame = codec.encode(from, message).bytes();
    final Port source = ports.get(from);
    final Port target = ports.get(to);
    boolean byTcp = frame.length > ControlTransport.MAX_DATAGRAM_BYTES;
    int bytes = byTcp ? tcpBytes(frame.length) : frame.length + UDP_HEADER_BYTES;
    source.traffic().out(bytes);
    total.out(bytes);
    byKind.computeIfAbsent(message.getClass().getSimpleName(), k -> new Traffic()).out(bytes);
    if (target == null) {
      return;
    }
    Distance distance = source.locality().distanceTo(target.locality());
    boolean across = distance == Distance.OTHER_REGION;
    if (across) {
      link.out(bytes);
    }
    if (across && regionsCut || !byTcp && random.nextDouble() < loss) {
      return;
    }
    Duration delay = byTcp ? tcpDelay(distance, frame.length) : latency(distance);
    time.after(delay, () -> deliver(to, frame, bytes));
  }

  private void deliver(Address to, byte[] frame, int bytes) {
    Port port = ports.get(to);
    port.traffic().bytesIn += bytes;
    codec
        .decode(frame)
        .ifPresent(decoded -> port.endpoint().receive(decoded.sender(), decoded.message()));
  }

  static Duration latency(Distance distance) {
    return switch (distance) {
      case SAME_ZONE -> IN_ZONE;
      case SAME_REGION -> BETWEEN_ZONES;
      case OTHER_REGION -> BETWEEN_REGIONS;
    };
  }

  private static int tcpBytes(int frame) {
    int segments = frame / TCP_SEGMENT_BYTES + 1;
    return frame + segments * TCP_HEADER_BYTES + TCP_SETUP_BYTES;
  }

  private Duration tcpDelay(Distance distance, int frame) {
    Duration delay = latency(distance).multipliedBy(3);
    int segments = frame / TCP_SEGMENT_BYTES + 1;
    for (int i = 0; i < segments; i++) {
      if (random.nextDouble() < loss) {
        delay = delay.plus(RETRANSMISSION);
      }
    }
    return delay;
  }

  Traffic total() {
    return total;
  }

  Traffic link() {
    return link;
  }

  Map<String, Traffic> byKind() {
    return byKind;
  }

  long largestBytesOfNode() {
    return ports.values().stream()
        .mapToLong(port -> port.traffic().bytesIn + port.traffic().bytesOut)
        .max()
        .orElse(0);
  }

  long bytesIn() {
    return ports.values().stream().mapToLong(port -> port.traffic().bytesIn).sum();
  }

  void resetCounters() {
    total.reset();
    link.reset();
    byKind.clear();
    ports.values().forEach(port -> port.traffic().reset());
  }
}
