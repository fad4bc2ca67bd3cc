package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.inRange;
import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Instant;

/**
 * The end of a move; the first one in log order stands.
 *
 * @param name name of the move
 * @param result done or rolled back
 * @param reason one sentence with the figures that decided it
 * @param decidedAt when it was decided
 * @param highestShare largest share of traffic that the new version was ever given
 */
public record MoveOutcome(
    String name, Result result, String reason, Instant decidedAt, double highestShare)
    implements Resource {

  /** Checks the fields. */
  public MoveOutcome {
    notBlank(name, "name");
    notNull(result, "result");
    notNull(reason, "reason");
    notNull(decidedAt, "decidedAt");
    inRange(highestShare, 0, 1, "highestShare");
  }

  /** The two ways in which a move can end. */
  public enum Result {
    /** All traffic is on the new target version. */
    DONE,
    /** All traffic is back on the old target version. */
    ROLLED_BACK
  }
}
