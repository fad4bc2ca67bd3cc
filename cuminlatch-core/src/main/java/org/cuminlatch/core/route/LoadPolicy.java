package org.cuminlatch.core.route;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;

/**
 * How what is known of a target weighs in the choice among targets.
 *
 * @param slowStart time over which a target that is new here comes to its full share
 * @param failurePressure requests per slot that a target which always fails seems to have on top
 * @param failureCost factor of the cost of a target which always fails, less 1
 */
public record LoadPolicy(Duration slowStart, double failurePressure, double failureCost) {

  /** Failures count by ejection only. */
  public static final LoadPolicy EJECTION_ONLY = new LoadPolicy(TargetLoad.SLOW_START, 0, 0);

  /**
   * For targets that fail in part of their requests for a long time, and that come and go often.
   */
  public static final LoadPolicy GRADED = new LoadPolicy(Duration.ofSeconds(3), 2, 8);

  /** Checks the fields. */
  public LoadPolicy {
    notNull(slowStart, "slowStart");
    check(failurePressure >= 0, "failurePressure", "must not be negative");
    check(failureCost >= 0, "failureCost", "must not be negative");
  }
}
