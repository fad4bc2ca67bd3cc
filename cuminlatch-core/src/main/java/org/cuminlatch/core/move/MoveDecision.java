package org.cuminlatch.core.move;

import java.time.Instant;

/**
 * Decision about a move on one node, as it is logged.
 *
 * @param move name of the move
 * @param kind what was decided
 * @param step index of the step in force after the decision, -1 if none
 * @param share share of the new version on this node after the decision
 * @param reason one sentence with the figures
 * @param at time of the decision
 */
public record MoveDecision(
    String move, Kind kind, int step, double share, String reason, Instant at) {

  /** Kind of a decision. */
  public enum Kind {
    /** The share rises to the next step. */
    RAISE,
    /** The share stays although the schedule would allow it to rise. */
    HOLD,
    /** The share falls because the lease on the step has expired or too few slots are ready. */
    LOWER,
    /** The new version gets no more traffic. */
    ROLL_BACK,
    /** The move ends with all traffic on the new version. */
    DONE
  }
}
