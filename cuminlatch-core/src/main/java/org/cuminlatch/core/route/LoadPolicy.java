package org.cuminlatch.core.route;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;

/**
 * Weights of a target's age and failures in load balancing.
 *
 * @param slowStart time over which the weight of a target that is new to this node rises to 1
 * @param failurePressure load in requests per slot that is added for a target that always fails; in
 *     proportion to the share of failures otherwise
 * @param failureCost increase of the cost of a target that always fails, as a multiple of its cost;
 *     in proportion to the share of failures otherwise
 */
public record LoadPolicy(Duration slowStart, double failurePressure, double failureCost) {

  /** Failures have no effect except that repeated ones eject the target. */
  public static final LoadPolicy EJECTION_ONLY = new LoadPolicy(TargetLoad.SLOW_START_WINDOW, 0, 0);

  /**
   * Failures add to load and cost. Suits targets that fail part of their requests for a long time
   * and targets that join and leave often.
   */
  public static final LoadPolicy FAILURE_WEIGHTED = new LoadPolicy(Duration.ofSeconds(3), 2, 8);

  /** Validates the components. */
  public LoadPolicy {
    notNull(slowStart, "slowStart");
    check(failurePressure >= 0, "failurePressure", "must not be negative");
    check(failureCost >= 0, "failureCost", "must not be negative");
  }
}
