package org.cuminlatch.core.spread;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.spread.SpreadMessage.Heartbeat;

/** Monitors the heartbeats of readers and decides whether a stand-by may read the log itself. */
final class ReaderMonitor {

  private static final Duration OTHER_REGION_HEARTBEAT_LIFETIME = Duration.ofSeconds(10);

  /** Factor of the stand-by timeout while the reader is alive but cannot read the log. */
  private static final int LOG_UNREADABLE_FACTOR = 5;

  private record ReceivedHeartbeat(Heartbeat heartbeat, Instant at) {}

  private final SpreadSettings settings;
  private final RandomGenerator random;
  private final Map<String, ReceivedHeartbeat> otherRegionHeartbeats = new HashMap<>();
  private Heartbeat latestHeartbeat;
  private Instant lastHeartbeatAt = Instant.EPOCH;
  private Instant lastReadableAt = Instant.EPOCH;
  private Instant now = Instant.EPOCH;

  ReaderMonitor(SpreadSettings settings, RandomGenerator random) {
    this.settings = settings;
    this.random = random;
  }

  void start(Instant at) {
    lastHeartbeatAt = at;
    lastReadableAt = at;
  }

  /** Handles a heartbeat and returns whether it is new. */
  boolean onHeartbeat(Heartbeat heartbeat, boolean ownRegion, Instant at) {
    now = at;
    if (!ownRegion) {
      otherRegionHeartbeats.put(heartbeat.reader(), new ReceivedHeartbeat(heartbeat, at));
      return true;
    }
    boolean sameReader =
        latestHeartbeat != null && latestHeartbeat.reader().equals(heartbeat.reader());
    if (sameReader && heartbeat.round() <= latestHeartbeat.round()) {
      return false;
    }
    latestHeartbeat = heartbeat;
    lastHeartbeatAt = at;
    if (heartbeat.logReadable()) {
      lastReadableAt = at;
    }
    return true;
  }

  /**
   * Returns whether the instance of a rank may read the log: always the reader (rank 0), and a
   * stand-by if the reader has been silent or unable to read the log for a time that grows with the
   * rank.
   */
  boolean mayRead(int rank, Instant at) {
    now = at;
    if (rank == 0) {
      return true;
    }
    if (rank == Integer.MAX_VALUE) {
      return false;
    }
    Duration timeout = settings.standbyTimeout().multipliedBy(rank);
    boolean readerSilent = lastHeartbeatAt.plus(timeout).isBefore(at);
    boolean logUnreadable =
        lastReadableAt.plus(timeout.multipliedBy(LOG_UNREADABLE_FACTOR)).isBefore(at);
    return readerSilent || logUnreadable;
  }

  /** Returns whether the reader of another region has recently reported the log as readable. */
  boolean canRead(String reader) {
    ReceivedHeartbeat received = otherRegionHeartbeats.get(reader);
    return received != null && isValid(received) && received.heartbeat().logReadable();
  }

  /** Adds the counts of the other regions for the same or a later version. */
  InForce withOtherRegions(InForce region) {
    int count = region.count();
    int members = region.members();
    for (ReceivedHeartbeat received : otherRegionHeartbeats.values()) {
      if (isValid(received)) {
        InForce other = received.heartbeat().inForce();
        members += other.members();
        count += other.version() >= region.version() ? other.count() : 0;
      }
    }
    return new InForce(region.version(), count, members);
  }

  private boolean isValid(ReceivedHeartbeat received) {
    return received.at().plus(OTHER_REGION_HEARTBEAT_LIFETIME).isAfter(now);
  }
}
