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
    Duration quietReportInterval,
    Duration regionReportInterval,
    long reportBytesPerSecond,
    Duration grantLifetime,
    Duration pauseLimit,
    Duration lostZoneLimit,
    Duration lostRegionLimit,
    double falseRollbackRate,
    long sufficientCalls) {

  private static final int REPORT_BYTES = 150;
  private static final int FRESH_REPORTS = 3;
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
    positive(reportInterval, "reportInterval");
    positive(quietReportInterval, "quietReportInterval");
    positive(regionReportInterval, "regionReportInterval");
    positive(grantLifetime, "grantLifetime");
    positive(pauseLimit, "pauseLimit");
    positive(lostZoneLimit, "lostZoneLimit");
    positive(lostRegionLimit, "lostRegionLimit");
    check(reportBytesPerSecond > 0, "reportBytesPerSecond", "must be above 0");
    check(
        grantLifetime.compareTo(quietReportInterval) > 0,
        "grantLifetime",
        "must be above quietReportInterval");
    inRange(falseRollbackRate, 1e-12, 0.5, "falseRollbackRate");
    check(sufficientCalls > 0, "sufficientCalls", "must be above 0");
  }

  /**
   * Returns the settings of a mesh that names none.
   *
   * @return the defaults
   */
  public static MoveSettings defaults() {
    return DEFAULTS;
  }

  Duration quietInterval(int zoneNodes) {
    long millis = MILLIS_PER_SECOND * zoneNodes * REPORT_BYTES / reportBytesPerSecond;
    return longer(quietReportInterval, Duration.ofMillis(millis));
  }

  Duration freshWithin(int zoneNodes) {
    return quietInterval(zoneNodes).multipliedBy(FRESH_REPORTS);
  }

  Duration grantLifetime(int zoneNodes) {
    return longer(grantLifetime, freshWithin(zoneNodes));
  }

  private static Duration longer(Duration one, Duration other) {
    return one.compareTo(other) >= 0 ? one : other;
  }

  private static void positive(Duration value, String name) {
    notNull(value, name);
    check(!value.isNegative() && !value.isZero(), name, "must be above 0");
  }
}
