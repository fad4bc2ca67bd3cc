package org.cuminlatch.core.move;

import java.time.Instant;

/**
 * A decision about a move, for the log.
 *
 * @param move name of the move
 * @param kind what was decided
 * @param step index of the step in force after the decision, -1 if none
 * @param share share of the new version on this node after the decision
 * @param reason one sentence with the figures
 * @param at when it was decided
 */
public record MoveDecision(
    String move, Kind kind, int step, double share, String reason, Instant at) {

  /** What can be decided. */
  public enum Kind {
    /** The share rises to the next step. */
    RAISE,
    /** The share stays although the schedule would let it rise. */
    HOLD,
    /** The share falls because the lease on it has expired or slots are missing. */
    LOWER,
    /** The new version takes no more traffic. */
    ROLL_BACK,
    /** The move ends with all traffic on the new version. */
    DONE
  }
}
