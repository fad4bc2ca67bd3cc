package org.cuminlatch.core.admission;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Instant;
import org.cuminlatch.core.retry.AttemptId;

/**
 * An attempt that asks for a slot.
 *
 * @param attempt the attempt
 * @param route name of the route
 * @param deadline when the caller stops waiting
 */
public record SlotRequest(AttemptId attempt, String route, Instant deadline) {

  /** Checks the fields. */
  public SlotRequest {
    notNull(attempt, "attempt");
    notBlank(route, "route");
    notNull(deadline, "deadline");
  }
}
