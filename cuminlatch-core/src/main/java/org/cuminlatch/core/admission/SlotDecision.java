package org.cuminlatch.core.admission;

import static org.cuminlatch.core.Preconditions.notNull;

import org.cuminlatch.core.retry.AttemptId;

/**
 * What becomes of an attempt that asked for a slot.
 *
 * @param attempt the attempt
 * @param kind the decision
 */
public record SlotDecision(AttemptId attempt, Kind kind) {

  /** Checks the fields. */
  public SlotDecision {
    notNull(attempt, "attempt");
    notNull(kind, "kind");
  }

  /** Kinds of decision; the refused attempts were not run. */
  public enum Kind {
    /** It holds a slot from now on. */
    ADMITTED,
    /** It waits for a slot. */
    QUEUED,
    /** Refused: the queue is full. */
    QUEUE_FULL,
    /** Refused: its deadline can't be met. */
    DEADLINE,
    /** Refused: the target takes no new work. */
    DRAINING
  }
}
