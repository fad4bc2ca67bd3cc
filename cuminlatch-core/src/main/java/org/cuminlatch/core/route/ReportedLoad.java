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
 * @param serviceTime mean time for which a request holds a slot; zero if it is not known
 */
public record ReportedLoad(int busy, int queued, int limit, Duration lag, Duration serviceTime) {

  /** Validates the components. */
  public ReportedLoad {
    notNegative(busy, "busy");
    notNegative(queued, "queued");
    notNegative(limit, "limit");
    notNegative(lag.toNanos(), "lag");
    notNegative(serviceTime.toNanos(), "serviceTime");
  }

  /**
   * Creates the report of a node without lag whose service time is not known.
   *
   * @param busy number of requests that hold a slot
   * @param queued number of requests that wait for a slot
   * @param limit current maximum number of concurrent requests
   */
  public ReportedLoad(int busy, int queued, int limit) {
    this(busy, queued, limit, Duration.ZERO, Duration.ZERO);
  }

  /**
   * Creates the report of a node whose service time is not known.
   *
   * @param busy number of requests that hold a slot
   * @param queued number of requests that wait for a slot
   * @param limit current maximum number of concurrent requests
   * @param lag time that events wait for the node itself to process them
   */
  public ReportedLoad(int busy, int queued, int limit, Duration lag) {
    this(busy, queued, limit, lag, Duration.ZERO);
  }
}
