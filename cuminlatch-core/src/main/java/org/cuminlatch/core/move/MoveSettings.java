package org.cuminlatch.core.move;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.inRange;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;

/**
 * Settings of the moves, the same on all nodes of a mesh.
 *
 * @param reportInterval time between two reports of a node that has news of the new version
 * @param quietReportInterval time between two reports of a node without such news
 * @param regionReportInterval time between two reports of an aggregator to another region
 * @param reportBytesPerSecond what an aggregator may receive from the nodes of its zone for a move;
 *     in large zones the quiet reports come less often for it
 * @param grantLifetime how long a node uses a step after the report that the grant answers
 * @param pauseLimit time between two ticks above which a node takes itself for paused
 * @param falseRollbackRate bound on the probability that a judge rolls back a version which is no
 *     worse than the old one
 * @param lostZoneLimit how long a zone of the own region that has no live members is waited for
 *     before a move is said to be done
 * @param lostRegionLimit how long another region is waited for
 * @param sufficientCalls calls to the new version at a step that allow the next one early
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
    double falseRollbackRate,
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

  /** Checks the fields. */
  public MoveSettings {
    checkPositive(reportInterval, "reportInterval");
    checkPositive(fullReportInterval, "quietReportInterval");
    checkPositive(crossRegionReportInterval, "regionReportInterval");
    checkPositive(grantLifetime, "grantLifetime");
    checkPositive(pauseThreshold, "pauseLimit");
    checkPositive(lostZoneTimeout, "lostZoneLimit");
    checkPositive(lostRegionTimeout, "lostRegionLimit");
    check(maxReportBytesPerSecond > 0, "reportBytesPerSecond", "must be above 0");
    check(
        grantLifetime.compareTo(fullReportInterval) > 0,
        "grantLifetime",
        "must be above quietReportInterval");
    inRange(falseRollbackRate, 1e-12, 0.5, "falseRollbackRate");
    check(sufficientCallsPerStep > 0, "sufficientCalls", "must be above 0");
  }

  /**
   * Returns the settings of a mesh that names none.
   *
   * @return the defaults
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
