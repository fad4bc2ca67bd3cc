package org.cuminlatch.core.route;

import static org.cuminlatch.core.Preconditions.notNegative;

import java.time.Duration;

/**
 * Load of a target, as its node reports it with each answer.
 *
 * @param busy number of requests that hold a slot
 * @param queued number of requests that wait for a slot
 * @param limit current maximum number of concurrent requests
 * @param lag time that events wait for the node itself to process them
 */
public record ReportedLoad(int busy, int queued, int limit, Duration lag) {

  /** Validates the components. */
  public ReportedLoad {
    notNegative(busy, "busy");
    notNegative(queued, "queued");
    notNegative(limit, "limit");
    notNegative(lag.toNanos(), "lag");
  }

  /**
   * Creates the report of a node without lag.
   *
   * @param busy number of requests that hold a slot
   * @param queued number of requests that wait for a slot
   * @param limit current maximum number of concurrent requests
   */
  public ReportedLoad(int busy, int queued, int limit) {
    this(busy, queued, limit, Duration.ZERO);
  }
}
