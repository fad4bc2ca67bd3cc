package org.cuminlatch.core.route;

import static org.cuminlatch.core.Preconditions.notNegative;

/**
 * Load of a target as the node beside it reports with each answer.
 *
 * @param busy requests that hold a slot
 * @param queued requests that wait for a slot
 * @param limit requests that the target takes at a time at present
 */
public record ReportedLoad(int busy, int queued, int limit) {

  /** Checks the fields. */
  public ReportedLoad {
    notNegative(busy, "busy");
    notNegative(queued, "queued");
    notNegative(limit, "limit");
  }
}
