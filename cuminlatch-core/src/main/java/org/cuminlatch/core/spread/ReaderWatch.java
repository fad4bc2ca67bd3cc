package org.cuminlatch.core.spread;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.spread.SpreadMessage.Heartbeat;

/** What the readers' heartbeats say, and whether a stand-by may read the log itself. */
final class ReaderWatch {

  private static final Duration OTHER_REGION_VALID = Duration.ofSeconds(10);
  private static final int SLOW_FACTOR = 5;

  private record Heard(Heartbeat heartbeat, Instant at) {}

  private final SpreadSettings settings;
  private final RandomGenerator random;
  private final Map<String, Heard> otherReaders = new HashMap<>();
  private Heartbeat latest;
  private Instant heardAt = Instant.EPOCH;
  private Instant readableAt = Instant.EPOCH;
  private Instant now = Instant.EPOCH;

  ReaderWatch(SpreadSettings settings, RandomGenerator random) {
    this.settings = settings;
    this.random = random;
  }

  void start(Instant at) {
    heardAt = at;
    readableAt = at;
  }

  /** Takes a heartbeat and returns whether it is news. */
  boolean onHeartbeat(Heartbeat heartbeat, boolean ownRegion, Instant at) {
    now = at;
    if (!ownRegion) {
      otherReaders.put(heartbeat.reader(), new Heard(heartbeat, at));
      return true;
    }
    boolean sameReader = latest != null && latest.reader().equals(heartbeat.reader());
    if (sameReader && heartbeat.round() <= latest.round()) {
      return false;
    }
    latest = heartbeat;
    heardAt = at;
    if (heartbeat.logReadable()) {
      readableAt = at;
    }
    return true;
  }

  /** Returns whether an instance of a rank may read the log: the reader, or a stand-by in need. */
  boolean mayRead(int rank, Instant at) {
    now = at;
    if (rank == 0) {
      return true;
    }
    if (rank == Integer.MAX_VALUE) {
      return false;
    }
    Duration patience = settings.standbyAfter().multipliedBy(rank);
    boolean silent = heardAt.plus(patience).isBefore(at);
    boolean blind = readableAt.plus(patience.multipliedBy(SLOW_FACTOR)).isBefore(at);
    return silent || blind;
  }

  boolean canRead(String reader) {
    Heard heard = otherReaders.get(reader);
    return heard != null && isValid(heard) && heard.heartbeat().logReadable();
  }

  /** Adds the other regions' counts of the same or a later version. */
  InForce withOtherRegions(InForce region) {
    int count = region.count();
    int members = region.members();
    for (Heard heard : otherReaders.values()) {
      if (isValid(heard)) {
        InForce other = heard.heartbeat().inForce();
        members += other.members();
        count += other.version() >= region.version() ? other.count() : 0;
      }
    }
    return new InForce(region.version(), count, members);
  }

  private boolean isValid(Heard heard) {
    return heard.at().plus(OTHER_REGION_VALID).isAfter(now);
  }
}
