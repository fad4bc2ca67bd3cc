package org.cuminlatch.core.route;

import static org.cuminlatch.core.Preconditions.notNegative;

import java.time.Duration;

/**
 * Load of a target as the node beside it reports with each answer.
 *
 * @param busy requests that hold a slot
 * @param queued requests that wait for a slot
 * @param limit requests that the target takes at a time at present
 * @param lag how late the node itself comes to its work
 */
public record ReportedLoad(int busy, int queued, int limit, Duration lag) {

  /** Checks the fields. */
  public ReportedLoad {
    notNegative(busy, "busy");
    notNegative(queued, "queued");
    notNegative(limit, "limit");
    notNegative(lag.toNanos(), "lag");
  }

  /**
   * Creates the report of a node that comes to its work in time.
   *
   * @param busy requests that hold a slot
   * @param queued requests that wait for a slot
   * @param limit requests that the target takes at a time at present
   */
  public ReportedLoad(int busy, int queued, int limit) {
    this(busy, queued, limit, Duration.ZERO);
  }
}
