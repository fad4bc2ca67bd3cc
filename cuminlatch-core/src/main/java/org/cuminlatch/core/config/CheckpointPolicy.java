package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;

/**
 * When checkpoints are written.
 *
 * @param maxRecords records after the last checkpoint that make a new one due
 * @param maxAge age of the last checkpoint that makes a new one due even without a new record, well
 *     below the time for which the log keeps records
 * @param standByDelay how long each next member in rank waits before it steps in
 */
public record CheckpointPolicy(int maxRecords, Duration maxAge, Duration standByDelay) {

  /** Checks the fields. */
  public CheckpointPolicy {
    check(maxRecords >= 1, "maxRecords", "must be at least 1");
    notNull(maxAge, "maxAge");
    notNull(standByDelay, "standByDelay");
    check(maxAge.compareTo(Duration.ZERO) > 0, "maxAge", "must be positive");
    check(standByDelay.compareTo(Duration.ZERO) > 0, "standByDelay", "must be positive");
  }

  /**
   * Returns a policy for a log that keeps records for a day or more.
   *
   * @return 250 records or an hour, stand-bys after 15 s each
   */
  public static CheckpointPolicy defaults() {
    return new CheckpointPolicy(250, Duration.ofHours(1), Duration.ofSeconds(15));
  }
}
