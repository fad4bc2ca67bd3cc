package org.cuminlatch.core.move;

import static org.cuminlatch.core.Preconditions.inRange;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Instant;

/**
 * The fact that a move is rolled back; once known it is never withdrawn.
 *
 * @param move identity of the move
 * @param reason one sentence with the figures that decided it
 * @param decidedAt when it was decided, by the clock of the deciding node
 * @param highestShare largest share of traffic that the new version was ever given
 */
public record Rollback(MoveId move, String reason, Instant decidedAt, double highestShare) {

  /** Checks the fields. */
  public Rollback {
    notNull(move, "move");
    notNull(reason, "reason");
    notNull(decidedAt, "decidedAt");
    inRange(highestShare, 0, 1, "highestShare");
  }
}
