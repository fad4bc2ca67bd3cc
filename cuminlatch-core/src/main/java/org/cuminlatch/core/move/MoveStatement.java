package org.cuminlatch.core.move;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

/**
 * What the mesh has stated of the latest move of a service.
 *
 * @param service name of the service
 * @param version target version of the move
 * @param state how far it is
 */
public record MoveStatement(String service, String version, State state) {

  /** Checks the fields. */
  public MoveStatement {
    notBlank(service, "service");
    notBlank(version, "version");
    notNull(state, "state");
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
