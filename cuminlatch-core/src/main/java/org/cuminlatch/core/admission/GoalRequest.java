package org.cuminlatch.core.admission;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Instant;
import org.cuminlatch.core.retry.AttemptId;

/**
 * Request of an attempt for a slot of a {@link GoalQueue}.
 *
 * @param attempt the attempt
 * @param route name of the route
 * @param priority priority of the route; 0 is the highest
 * @param goal time up to which an answer has its full worth
 * @param deadline time at which the caller stops waiting for the answer
 * @param origin who made the request
 */
public record GoalRequest(
    AttemptId attempt,
    String route,
    int priority,
    Instant goal,
    Instant deadline,
    RequestOrigin origin) {

  /** Validates the components. */
  public GoalRequest {
    notNull(attempt, "attempt");
    notBlank(route, "route");
    notNegative(priority, "priority");
    notNull(goal, "goal");
    notNull(deadline, "deadline");
    notNull(origin, "origin");
  }

  /**
   * Creates the request of a client without an account.
   *
   * @param attempt the attempt
   * @param route name of the route
   * @param priority priority of the route; 0 is the highest
   * @param goal time up to which an answer has its full worth
   * @param deadline time at which the caller stops waiting for the answer
   */
  public GoalRequest(
      AttemptId attempt, String route, int priority, Instant goal, Instant deadline) {
    this(attempt, route, priority, goal, deadline, RequestOrigin.CLIENT);
  }
}
