package org.cuminlatch.core.move;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.inRange;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.List;

/**
 * Evidence of one move from one node or zone.
 *
 * @param move identity of the move
 * @param step highest step granted to the source's region, {@link #NO_STEP} before the first
 * @param highestShare largest share of the new version that is known to the source
 * @param closed whether the source has ended its soak and no longer rolls back on its own
 * @param rows cumulative counts; rows that have not changed may be omitted
 */
public record MoveEvidence(
    MoveId move, int step, double highestShare, boolean closed, List<EvidenceRow> rows) {

  /** Step of a region before its first step. */
  public static final int NO_STEP = -1;

  /** Validates the components and copies the rows. */
  public MoveEvidence {
    notNull(move, "move");
    check(step >= NO_STEP, "step", "must be at least " + NO_STEP);
    inRange(highestShare, 0, 1, "highestShare");
    rows = List.copyOf(notNull(rows, "rows"));
  }
}
