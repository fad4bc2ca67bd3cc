package org.cuminlatch.wire.control;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.cuminlatch.wire.proto.control.Protocol;

/** Counts what a control transport sends, receives and refuses; any thread may read. */
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

  /** Messages and bytes in both directions, bytes without the headers of IP, UDP and TCP. */
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
     * Returns the messages received.
     *
     * @return the number
     */
    public long messagesIn() {
      return messagesIn.sum();
    }

    /**
     * Returns the messages sent.
     *
     * @return the number
     */
    public long messagesOut() {
      return messagesOut.sum();
    }

    /**
     * Returns the bytes received.
     *
     * @return the bytes
     */
    public long bytesIn() {
      return bytesIn.sum();
    }

    /**
     * Returns the bytes sent.
     *
     * @return the bytes
     */
    public long bytesOut() {
      return bytesOut.sum();
    }
  }

  void countIn(Protocol protocol, int bytes, boolean across) {
    byProtocol.get(protocol).in(bytes);
    if (across) {
      acrossRegions.in(bytes);
    }
  }

  void countOut(Protocol protocol, int bytes, boolean across) {
    byProtocol.get(protocol).out(bytes);
    if (across) {
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
   * Returns the part of the traffic that crosses the link between regions.
   *
   * @return its counters
   */
  public Traffic acrossRegions() {
    return acrossRegions;
  }

  /**
   * Returns the frames refused because they belong to another mesh.
   *
   * @return the number
   */
  public long strangers() {
    return strangers.sum();
  }

  /**
   * Returns the frames refused because they are malformed or too large.
   *
   * @return the number
   */
  public long malformed() {
    return malformed.sum();
  }

  /**
   * Returns the messages dropped because their peer could not be reached or takes too little.
   *
   * @return the number
   */
  public long dropped() {
    return dropped.sum();
  }

  /**
   * Returns the connections replaced because they had gone silent.
   *
   * @return the number
   */
  public long silentConnections() {
    return silentConnections.sum();
  }
}
