package org.cuminlatch.core.move;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

/**
 * What the mesh has stated of the latest move of a service.
 *
 * @param service name of the service
 * @param version target version of the move
 * @param state how far it is
 * @param order the order that it speaks of, see {@link MoveOrder#id}; negative if not known
 * @param startedMillis time of day at which the move began, in milliseconds since 1970
 */
public record MoveStatement(
    String service, String version, State state, long order, long startedMillis) {

  /** Checks the fields. */
  public MoveStatement {
    notBlank(service, "service");
    notBlank(version, "version");
    notNull(state, "state");
  }

  /**
   * Returns whether the statement speaks of an order.
   *
   * @param other the order
   * @return true if it is the same or, where the statement names none, has the same version
   */
  public boolean isOf(MoveOrder other) {
    return service.equals(other.service())
        && version.equals(other.version())
        && (order < 0 || order == other.id());
  }

  /**
   * Returns whether the move has ended.
   *
   * @return true unless it is running
   */
  public boolean isFinal() {
    return state != State.RUNNING;
  }

  /** States of a move. */
  public enum State {
    /** Calls are being moved. */
    RUNNING,
    /** All calls are on the new version for good. */
    COMPLETED,
    /** All calls are on the other versions for good. */
    ROLLED_BACK
  }
}
