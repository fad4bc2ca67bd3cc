package org.cuminlatch.core.spread;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;

/**
 * Settings of the distribution of configuration.
 *
 * @param fanOut maximum number of members of a zone that one member pushes records to
 * @param heartbeatInterval time between two heartbeats of a reader
 * @param heartbeatsPerZoneRound number of heartbeats of which one is sent down the tree of a zone
 * @param longPollTimeout maximum time that a read waits for a new record
 * @param standbyTimeout time without a heartbeat of the reader after which the first stand-by reads
 *     the log
 * @param backoffBase maximum first delay after a failure of the log; it doubles
 * @param backoffLimit maximum delay after a failure of the log
 * @param startGrace maximum delay of the first read of the log after the start
 * @param pullGrace time that an instance waits for a push before it pulls
 * @param pullTimeout time without an answer after which a pull is sent to another peer
 * @param bytesPerSecond average rate of record and checkpoint bytes that are sent
 * @param burstBytes record and checkpoint bytes that may be sent at once
 * @param checkpointRecords number of records after which a checkpoint is written
 * @param checkpointInterval time after which a checkpoint is written even without new records,
 *     because the log also drops old checkpoints
 */
public record SpreadSettings(
    int fanOut,
    Duration heartbeatInterval,
    int heartbeatsPerZoneRound,
    Duration longPollTimeout,
    Duration standbyTimeout,
    Duration backoffBase,
    Duration backoffLimit,
    Duration startGrace,
    Duration pullGrace,
    Duration pullTimeout,
    int bytesPerSecond,
    int burstBytes,
    int checkpointRecords,
    Duration checkpointInterval) {

  /** Checks the fields. */
  public SpreadSettings {
    check(fanOut >= 1, "fanOut", "must be at least 1");
    notNull(heartbeatInterval, "heartbeatInterval");
    check(heartbeatsPerZoneRound >= 1, "heartbeatsPerZoneRound", "must be at least 1");
    notNull(longPollTimeout, "longPollTimeout");
    notNull(standbyTimeout, "standbyTimeout");
    notNull(backoffBase, "backoffBase");
    notNull(backoffLimit, "backoffLimit");
    notNull(startGrace, "startGrace");
    notNull(pullGrace, "pullGrace");
    notNull(pullTimeout, "pullTimeout");
    check(bytesPerSecond > 0, "bytesPerSecond", "must be positive");
    check(burstBytes > 0, "burstBytes", "must be positive");
    check(checkpointRecords >= 1, "checkpointRecords", "must be at least 1");
    notNull(checkpointInterval, "checkpointInterval");
  }

  /**
   * Returns the default settings, which suit a mesh of up to 900 members.
   *
   * @return the defaults
   */
  public static SpreadSettings defaults() {
    return new SpreadSettings(
        4,
        Duration.ofSeconds(1),
        5,
        Duration.ofSeconds(20),
        Duration.ofSeconds(3),
        Duration.ofMillis(500),
        Duration.ofSeconds(15),
        Duration.ofSeconds(2),
        Duration.ofMillis(400),
        Duration.ofSeconds(1),
        1_500,
        128 * 1024,
        100,
        Duration.ofMinutes(10));
  }
}
