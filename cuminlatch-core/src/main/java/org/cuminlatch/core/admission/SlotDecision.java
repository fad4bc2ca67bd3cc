package org.cuminlatch.core.admission;

import static org.cuminlatch.core.Preconditions.notNull;

import org.cuminlatch.core.retry.AttemptId;

/**
 * Decision on an attempt that requested a slot.
 *
 * @param attempt the attempt
 * @param kind the decision
 */
public record SlotDecision(AttemptId attempt, Kind kind) {

  /** Validates the components. */
  public SlotDecision {
    notNull(attempt, "attempt");
    notNull(kind, "kind");
  }

  /** Kinds of decision. A refused attempt has not been run. */
  public enum Kind {
    /** The attempt holds a slot from now on. */
    ADMITTED,
    /** The attempt waits for a slot. */
    QUEUED,
    /** Refused: the queue is full. */
    QUEUE_FULL,
    /** Refused: the deadline of the attempt can't be met. */
    DEADLINE,
    /** Refused: the target accepts no new requests. */
    DRAINING
  }
}
