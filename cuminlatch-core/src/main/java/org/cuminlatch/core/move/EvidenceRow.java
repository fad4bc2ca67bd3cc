package org.cuminlatch.core.move;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

/**
 * Counts of one route's calls to one of the two versions of a move.
 *
 * @param route name of the route
 * @param side old or new target version
 * @param counts cumulative counts
 */
public record EvidenceRow(String route, Side side, CallCounts counts) {

  /** Validates the components. */
  public EvidenceRow {
    notBlank(route, "route");
    notNull(side, "side");
    notNull(counts, "counts");
  }

  /** Side of a move. */
  public enum Side {
    /** The target version that serves the traffic before the move. */
    OLD,
    /** The target version that the move shifts the traffic to. */
    NEW
  }
}
