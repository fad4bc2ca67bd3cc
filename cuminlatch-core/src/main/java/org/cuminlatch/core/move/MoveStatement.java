package org.cuminlatch.core.move;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

/**
 * Record in which the nodes state the progress of the latest ordered move of a service.
 *
 * @param service name of the service
 * @param version target version of the move
 * @param state progress of the move
 * @param order order that the statement refers to, see {@link MoveOrder#id} and {@link
 *     OrderHistory#isStatedBy}; negative if unknown
 * @param startedMillis start of the move in milliseconds since 1970
 */
public record MoveStatement(
    String service, String version, State state, long order, long startedMillis) {

  /** Validates the components. */
  public MoveStatement {
    notBlank(service, "service");
    notBlank(version, "version");
    notNull(state, "state");
  }

  /**
   * Returns whether the move has ended.
   *
   * @return true unless it is running
   */
  public boolean isFinal() {
    return state != State.RUNNING;
  }

  /** State of a move. */
  public enum State {
    /** The move is in progress. */
    RUNNING,
    /** The move has ended with all calls on the new version. */
    COMPLETED,
    /** The move has ended with all calls on the other versions. */
    ROLLED_BACK
  }
}
