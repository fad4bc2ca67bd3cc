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
 * Simulated network between the nodes of two regions. Messages are encoded and decoded with the
 * production codecs; their bytes are counted with IP, UDP and TCP headers.
 */
final class MeshNetwork {

  static final Duration CROSS_ZONE_LATENCY = Duration.ofMillis(1);
  static final Duration CROSS_REGION_LATENCY = Duration.ofMillis(8);
  static final int UDP_HEADER_BYTES = 28;

  private static final Duration IN_ZONE_LATENCY = Duration.ofNanos(300_000);
  private static final Duration RETRANSMISSION_DELAY = Duration.ofMillis(200);
  private static final int TCP_HEADER_BYTES = 40;
  private static final int TCP_SEGMENT_BYTES = 1_448;
  private static final int TCP_SETUP_BYTES = 7 * TCP_HEADER_BYTES + 8;

  /** Receives decoded messages. */
  interface MessageReceiver {
    void receive(Address from, ControlMessage message);
  }

  private record Port(Locality locality, MessageReceiver receiver, Traffic traffic) {}

  private final VirtualTime time;
  private final SplittableRandom random;
  private final ControlFrameCodec codec =
      ControlFrameCodec.of("yagmur-hasat", List.of(new MembershipCodec(), new SpreadCodec()));
  private final Map<Address, Port> ports = new HashMap<>();
  private final Traffic total = new Traffic();
  private final Traffic crossRegionTraffic = new Traffic();
  private final Map<String, Traffic> trafficByMessageType = new HashMap<>();
  private double lossRate;
  private boolean regionsPartitioned;

  MeshNetwork(VirtualTime time, long seed) {
    this.time = time;
    this.random = new SplittableRandom(seed);
  }

  /** Counters of messages and bytes. */
  static final class Traffic {
    long messages;
    long bytesOut;
    long bytesIn;

    void recordSent(int bytes) {
      messages++;
      bytesOut += bytes;
    }

    void reset() {
      messages = 0;
      bytesOut = 0;
      bytesIn = 0;
    }
  }

  void attach(Address address, Locality locality, MessageReceiver receiver) {
    Traffic traffic = ports.containsKey(address) ? ports.get(address).traffic() : new Traffic();
    ports.put(address, new Port(locality, receiver, traffic));
  }

  void detach(Address address) {
    Port port = ports.get(address);
    ports.put(address, new Port(port.locality(), (from, message) -> {}, port.traffic()));
  }

  void setLossRate(double rate) {
    lossRate = rate;
  }

  void setPartitioned(boolean partitioned) {
    regionsPartitioned = partitioned;
  }

  void send(Address from, Address to, ControlMessage message) {
    byte[] frame = codec.encode(from, message).bytes();
    final Port senderPort = ports.get(from);
    final Port receiverPort = ports.get(to);
    boolean overTcp = frame.length > ControlTransport.MAX_DATAGRAM_BYTES;
    int bytes = overTcp ? tcpBytes(frame.length) : frame.length + UDP_HEADER_BYTES;
    senderPort.traffic().recordSent(bytes);
    total.recordSent(bytes);
    trafficByMessageType
        .computeIfAbsent(message.getClass().getSimpleName(), k -> new Traffic())
        .recordSent(bytes);
    if (receiverPort == null) {
      return;
    }
    Distance distance = senderPort.locality().distanceTo(receiverPort.locality());
    boolean crossesRegions = distance == Distance.OTHER_REGION;
    if (crossesRegions) {
      crossRegionTraffic.recordSent(bytes);
    }
    if (crossesRegions && regionsPartitioned || !overTcp && random.nextDouble() < lossRate) {
      return;
    }
    Duration delay = overTcp ? tcpDelay(distance, frame.length) : latency(distance);
    time.after(delay, () -> deliver(to, frame, bytes));
  }

  private void deliver(Address to, byte[] frame, int bytes) {
    Port port = ports.get(to);
    port.traffic().bytesIn += bytes;
    codec
        .decode(frame)
        .ifPresent(decoded -> port.receiver().receive(decoded.sender(), decoded.message()));
  }

  static Duration latency(Distance distance) {
    return switch (distance) {
      case SAME_ZONE -> IN_ZONE_LATENCY;
      case SAME_REGION -> CROSS_ZONE_LATENCY;
      case OTHER_REGION -> CROSS_REGION_LATENCY;
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
      if (random.nextDouble() < lossRate) {
        delay = delay.plus(RETRANSMISSION_DELAY);
      }
    }
    return delay;
  }

  Traffic total() {
    return total;
  }

  Traffic crossRegionTraffic() {
    return crossRegionTraffic;
  }

  Map<String, Traffic> trafficByMessageType() {
    return trafficByMessageType;
  }

  long maxBytesOfNode() {
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
    crossRegionTraffic.reset();
    trafficByMessageType.clear();
    ports.values().forEach(port -> port.traffic().reset());
  }
}
