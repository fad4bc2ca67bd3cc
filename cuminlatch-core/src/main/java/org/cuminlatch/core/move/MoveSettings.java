package org.cuminlatch.core.move;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.inRange;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;

/**
 * Settings of moves; they must be equal on all nodes of a mesh.
 *
 * @param reportInterval time between two reports of a node with new calls to the new version, new
 *     failures of the old one or a changed state
 * @param fullReportInterval time between two full reports of a node
 * @param crossRegionReportInterval time between two reports of an aggregator to another region
 * @param maxReportBytesPerSecond upper bound on the bytes per second that an aggregator receives
 *     from the nodes of its zone for a move; large zones send full reports less often to keep it
 * @param grantLifetime time for which a node uses a granted step, counted from the report that the
 *     grant responds to
 * @param pauseThreshold time between two ticks above which a node treats itself as having been
 *     paused
 * @param maxFalseRollbackRate upper bound on the probability of rolling back a version that is no
 *     worse than the old one
 * @param lostZoneTimeout time after its last report for which a zone of the local region without
 *     live members holds back the statement that a move is done
 * @param lostRegionTimeout the same time for a zone of another region
 * @param sufficientCallsPerStep number of calls to the new version at a step that allows the next
 *     step before its latest start
 */
public record MoveSettings(
    Duration reportInterval,
    Duration fullReportInterval,
    Duration crossRegionReportInterval,
    long maxReportBytesPerSecond,
    Duration grantLifetime,
    Duration pauseThreshold,
    Duration lostZoneTimeout,
    Duration lostRegionTimeout,
    double maxFalseRollbackRate,
    long sufficientCallsPerStep) {

  private static final int REPORT_SIZE_BYTES = 150;
  private static final int REPORT_INTERVALS_UNTIL_STALE = 3;
  private static final long MILLIS_PER_SECOND = 1_000;

  private static final MoveSettings DEFAULTS =
      new MoveSettings(
          Duration.ofMillis(500),
          Duration.ofSeconds(2),
          Duration.ofSeconds(1),
          1_000,
          Duration.ofSeconds(8),
          Duration.ofSeconds(3),
          Duration.ofMinutes(2),
          Duration.ofHours(2),
          2.5e-4,
          200);

  /** Validates the components. */
  public MoveSettings {
    checkPositive(reportInterval, "reportInterval");
    checkPositive(fullReportInterval, "fullReportInterval");
    checkPositive(crossRegionReportInterval, "crossRegionReportInterval");
    checkPositive(grantLifetime, "grantLifetime");
    checkPositive(pauseThreshold, "pauseThreshold");
    checkPositive(lostZoneTimeout, "lostZoneTimeout");
    checkPositive(lostRegionTimeout, "lostRegionTimeout");
    check(maxReportBytesPerSecond > 0, "maxReportBytesPerSecond", "must be above 0");
    check(
        grantLifetime.compareTo(fullReportInterval) > 0,
        "grantLifetime",
        "must be above fullReportInterval");
    inRange(maxFalseRollbackRate, 1e-12, 0.5, "maxFalseRollbackRate");
    check(sufficientCallsPerStep > 0, "sufficientCallsPerStep", "must be above 0");
  }

  /**
   * Returns the default settings.
   *
   * @return the settings
   */
  public static MoveSettings defaults() {
    return DEFAULTS;
  }

  Duration fullReportInterval(int zoneNodeCount) {
    long millis = MILLIS_PER_SECOND * zoneNodeCount * REPORT_SIZE_BYTES / maxReportBytesPerSecond;
    return max(fullReportInterval, Duration.ofMillis(millis));
  }

  Duration maxReportAge(int zoneNodeCount) {
    return fullReportInterval(zoneNodeCount).multipliedBy(REPORT_INTERVALS_UNTIL_STALE);
  }

  Duration grantLifetime(int zoneNodeCount) {
    return max(grantLifetime, maxReportAge(zoneNodeCount));
  }

  private static Duration max(Duration first, Duration second) {
    return first.compareTo(second) >= 0 ? first : second;
  }

  private static void checkPositive(Duration value, String name) {
    notNull(value, name);
    check(!value.isNegative() && !value.isZero(), name, "must be above 0");
  }
}
