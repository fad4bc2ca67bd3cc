package org.cuminlatch.core.admission;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Instant;
import org.cuminlatch.core.retry.AttemptId;

/**
 * An attempt that asks for a slot.
 *
 * @param attempt the attempt
 * @param route name of the route
 * @param priority rank of the route, 0 is the highest
 * @param goal time until which an answer is worth most
 * @param deadline time at which the caller stops waiting
 */
public record GoalRequest(
    AttemptId attempt, String route, int priority, Instant goal, Instant deadline) {

  /** Checks the fields. */
  public GoalRequest {
    notNull(attempt, "attempt");
    notBlank(route, "route");
    notNegative(priority, "priority");
    notNull(goal, "goal");
    notNull(deadline, "deadline");
  }
}
