package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;

/**
 * Rate, batch size and delays with which reports are appended.
 *
 * @param minInterval minimum time between two appends
 * @param maxBatch maximum number of reports per append
 * @param maxPending maximum number of pending reports; beyond it new ones are dropped and counted
 * @param standByDelay delay per rank before the member of that rank appends the reports instead
 * @param maxRank highest rank that appends reports
 * @param inForceTimeout time after which a version is reported even if it is not in force on all
 *     instances
 */
public record ReportPolicy(
    Duration minInterval,
    int maxBatch,
    int maxPending,
    Duration standByDelay,
    int maxRank,
    Duration inForceTimeout) {

  /** Validates the components. */
  public ReportPolicy {
    notNull(minInterval, "minInterval");
    check(maxBatch >= 1, "maxBatch", "must be at least 1");
    check(maxPending >= maxBatch, "maxPending", "must be at least maxBatch");
    notNull(standByDelay, "standByDelay");
    check(maxRank >= 0, "maxRank", "must not be negative");
    notNull(inForceTimeout, "inForceTimeout");
  }

  /**
   * Returns the default policy: at most one append per second and two stand-bys.
   *
   * @return the defaults
   */
  public static ReportPolicy defaults() {
    return new ReportPolicy(
        Duration.ofSeconds(1), 100, 1_000, Duration.ofSeconds(10), 2, Duration.ofSeconds(15));
  }
}
