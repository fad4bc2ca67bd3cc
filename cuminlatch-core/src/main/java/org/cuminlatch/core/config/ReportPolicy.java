package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;

/**
 * How often reports are appended.
 *
 * @param minInterval shortest time between two appends
 * @param maxBatch most reports of one append
 * @param maxPending most reports that wait; beyond it new ones are dropped and counted
 * @param standByDelay how long each next member in rank waits before it reports instead
 * @param maxRank last rank that reports at all
 * @param inForceAfter when a version is reported even if it is not in force everywhere
 */
public record ReportPolicy(
    Duration minInterval,
    int maxBatch,
    int maxPending,
    Duration standByDelay,
    int maxRank,
    Duration inForceAfter) {

  /** Checks the fields. */
  public ReportPolicy {
    notNull(minInterval, "minInterval");
    check(maxBatch >= 1, "maxBatch", "must be at least 1");
    check(maxPending >= maxBatch, "maxPending", "must be at least maxBatch");
    notNull(standByDelay, "standByDelay");
    check(maxRank >= 0, "maxRank", "must not be negative");
    notNull(inForceAfter, "inForceAfter");
  }

  /**
   * Returns a policy of one append a second at most and two stand-bys.
   *
   * @return the defaults
   */
  public static ReportPolicy defaults() {
    return new ReportPolicy(
        Duration.ofSeconds(1), 100, 1_000, Duration.ofSeconds(10), 2, Duration.ofSeconds(15));
  }
}
