package org.cuminlatch.wire.control;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.cuminlatch.wire.proto.control.Protocol;

/** Counters of the frames that a control transport sends, receives and rejects; thread-safe. */
public final class TransportCounters {

  private final Map<Protocol, Traffic> byProtocol = new EnumMap<>(Protocol.class);
  private final Traffic acrossRegions = new Traffic();
  private final LongAdder strangers = new LongAdder();
  private final LongAdder malformed = new LongAdder();
  private final LongAdder dropped = new LongAdder();
  private final LongAdder silentConnections = new LongAdder();

  TransportCounters() {
    for (Protocol protocol : Protocol.values()) {
      byProtocol.put(protocol, new Traffic());
    }
  }

  /** Messages and bytes in both directions; bytes exclude the headers of IP, UDP and TCP. */
  public static final class Traffic {
    private final LongAdder messagesIn = new LongAdder();
    private final LongAdder messagesOut = new LongAdder();
    private final LongAdder bytesIn = new LongAdder();
    private final LongAdder bytesOut = new LongAdder();

    private Traffic() {}

    private void in(int bytes) {
      messagesIn.increment();
      bytesIn.add(bytes);
    }

    private void out(int bytes) {
      messagesOut.increment();
      bytesOut.add(bytes);
    }

    /**
     * Returns the number of messages received.
     *
     * @return the number
     */
    public long messagesIn() {
      return messagesIn.sum();
    }

    /**
     * Returns the number of messages sent.
     *
     * @return the number
     */
    public long messagesOut() {
      return messagesOut.sum();
    }

    /**
     * Returns the number of bytes received.
     *
     * @return the bytes
     */
    public long bytesIn() {
      return bytesIn.sum();
    }

    /**
     * Returns the number of bytes sent.
     *
     * @return the bytes
     */
    public long bytesOut() {
      return bytesOut.sum();
    }
  }

  void countIn(Protocol protocol, int bytes, boolean crossesRegions) {
    byProtocol.get(protocol).in(bytes);
    if (crossesRegions) {
      acrossRegions.in(bytes);
    }
  }

  void countOut(Protocol protocol, int bytes, boolean crossesRegions) {
    byProtocol.get(protocol).out(bytes);
    if (crossesRegions) {
      acrossRegions.out(bytes);
    }
  }

  void countStranger() {
    strangers.increment();
  }

  void countMalformed() {
    malformed.increment();
  }

  void countDropped() {
    dropped.increment();
  }

  void countSilentConnection() {
    silentConnections.increment();
  }

  /**
   * Returns the traffic of a protocol.
   *
   * @param protocol the protocol
   * @return its counters
   */
  public Traffic of(Protocol protocol) {
    return byProtocol.get(protocol);
  }

  /**
   * Returns the traffic with members in other regions, which is part of the traffic by protocol.
   *
   * @return its counters
   */
  public Traffic acrossRegions() {
    return acrossRegions;
  }

  /**
   * Returns the number of frames rejected because they belong to another mesh.
   *
   * @return the number
   */
  public long strangers() {
    return strangers.sum();
  }

  /**
   * Returns the number of frames rejected because they are malformed or too large.
   *
   * @return the number
   */
  public long malformed() {
    return malformed.sum();
  }

  /**
   * Returns the number of messages dropped, for example because the peer could not be reached or
   * was too slow.
   *
   * @return the number
   */
  public long dropped() {
    return dropped.sum();
  }

  /**
   * Returns the number of connections replaced because the peer stopped confirming frames.
   *
   * @return the number
   */
  public long silentConnections() {
    return silentConnections.sum();
  }
}
