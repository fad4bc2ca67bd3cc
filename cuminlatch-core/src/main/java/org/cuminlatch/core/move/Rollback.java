package org.cuminlatch.core.move;

import static org.cuminlatch.core.Preconditions.inRange;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Instant;

/**
 * Rollback of a move. It is final: a rollback is never withdrawn.
 *
 * @param move identity of the move
 * @param reason one sentence with the figures that decided it
 * @param decidedAt time of the decision by the clock of the deciding node
 * @param highestShare largest share of traffic that the new version has had
 */
public record Rollback(MoveId move, String reason, Instant decidedAt, double highestShare) {

  /** Validates the components. */
  public Rollback {
    notNull(move, "move");
    notNull(reason, "reason");
    notNull(decidedAt, "decidedAt");
    inRange(highestShare, 0, 1, "highestShare");
  }
}
