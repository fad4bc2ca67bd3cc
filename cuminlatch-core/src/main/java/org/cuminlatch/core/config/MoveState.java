package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Optional;

/**
 * A move together with its stop and outcome, as recorded on the log.
 *
 * @param move the accepted move
 * @param acceptedAt configuration version at which it was accepted
 * @param stop the operator's stop, if any
 * @param outcome the outcome, if the move has ended
 */
public record MoveState(
    Move move, long acceptedAt, Optional<MoveStop> stop, Optional<MoveOutcome> outcome) {

  /** Validates the components. */
  public MoveState {
    notNull(move, "move");
    notNull(stop, "stop");
    notNull(outcome, "outcome");
  }

  /**
   * Returns whether the move has not ended.
   *
   * @return true if there is no outcome
   */
  public boolean isOpen() {
    return outcome.isEmpty();
  }
}
