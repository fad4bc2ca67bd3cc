package org.cuminlatch.core.move;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.inRange;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.List;

/**
 * What one source knows of one move.
 *
 * @param move identity of the move
 * @param step highest step granted to the source's region, {@link #NO_STEP} before the first
 * @param highestShare largest share that the source has seen given to the new version
 * @param closed whether the source has ended its soak and will not roll back by itself any more
 * @param rows cumulative counts; a row that is left out has not changed
 */
public record MoveEvidence(
    MoveId move, int step, double highestShare, boolean closed, List<EvidenceRow> rows) {

  /** Step of a region that has been granted none. */
  public static final int NO_STEP = -1;

  /** Checks the fields and copies the rows. */
  public MoveEvidence {
    notNull(move, "move");
    check(step >= NO_STEP, "step", "must be at least " + NO_STEP);
    inRange(highestShare, 0, 1, "highestShare");
    rows = List.copyOf(notNull(rows, "rows"));
  }
}
