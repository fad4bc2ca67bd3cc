package org.cuminlatch.core.admission;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Instant;
import org.cuminlatch.core.retry.AttemptId;

/**
 * Request of an attempt for a slot of a {@link SlotQueue}.
 *
 * @param attempt the attempt
 * @param route name of the route
 * @param deadline time at which the caller stops waiting for the answer
 */
public record SlotRequest(AttemptId attempt, String route, Instant deadline) {

  /** Validates the components. */
  public SlotRequest {
    notNull(attempt, "attempt");
    notBlank(route, "route");
    notNull(deadline, "deadline");
  }
}
