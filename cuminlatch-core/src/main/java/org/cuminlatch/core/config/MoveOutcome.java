package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.inRange;
import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Instant;

/**
 * The end of a move; the first outcome in log order is final.
 *
 * @param name name of the move
 * @param result whether the move is done or was rolled back
 * @param reason one sentence with the figures that led to the result
 * @param decidedAt time of the decision
 * @param highestShare largest share of traffic that the new version received at any time
 */
public record MoveOutcome(
    String name, Result result, String reason, Instant decidedAt, double highestShare)
    implements Resource {

  /** Validates the components. */
  public MoveOutcome {
    notBlank(name, "name");
    notNull(result, "result");
    notNull(reason, "reason");
    notNull(decidedAt, "decidedAt");
    inRange(highestShare, 0, 1, "highestShare");
  }

  /** Result of a move. */
  public enum Result {
    /** All traffic is on the new target version. */
    DONE,
    /** All traffic is back on the old target version. */
    ROLLED_BACK
  }
}
