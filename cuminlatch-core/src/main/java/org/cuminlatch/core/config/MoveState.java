package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Optional;

/**
 * A move as the log has it.
 *
 * @param move the accepted move
 * @param acceptedAt configuration version at which it was accepted
 * @param stop the operator's stop, if any
 * @param outcome the outcome, if stated
 */
public record MoveState(
    Move move, long acceptedAt, Optional<MoveStop> stop, Optional<MoveOutcome> outcome) {

  /** Checks the fields. */
  public MoveState {
    notNull(move, "move");
    notNull(stop, "stop");
    notNull(outcome, "outcome");
  }

  /**
   * Returns whether the move still runs.
   *
   * @return true if no outcome is stated
   */
  public boolean isOpen() {
    return outcome.isEmpty();
  }
}
