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
 * @param grantLifetime how long a node uses a step after the report that the grant answers
 * @param pauseLimit time between two ticks above which a node takes itself for paused
 * @param falseRollbackRate bound on the probability that a judge rolls back a version which is no
 *     worse than the old one
 * @param sufficientCalls calls to the new version at a step that allow the next one early
 */
public record MoveSettings(
    Duration reportInterval,
    Duration quietReportInterval,
    Duration regionReportInterval,
    Duration grantLifetime,
    Duration pauseLimit,
    double falseRollbackRate,
    long sufficientCalls) {

  private static final MoveSettings DEFAULTS =
      new MoveSettings(
          Duration.ofMillis(500),
          Duration.ofSeconds(2),
          Duration.ofSeconds(1),
          Duration.ofSeconds(8),
          Duration.ofSeconds(3),
          1e-4,
          200);

  /** Checks the fields. */
  public MoveSettings {
    positive(reportInterval, "reportInterval");
    positive(quietReportInterval, "quietReportInterval");
    positive(regionReportInterval, "regionReportInterval");
    positive(grantLifetime, "grantLifetime");
    positive(pauseLimit, "pauseLimit");
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

  private static void positive(Duration value, String name) {
    notNull(value, name);
    check(!value.isNegative() && !value.isZero(), name, "must be above 0");
  }
}
