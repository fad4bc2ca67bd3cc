package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

/**
 * An operator's request to stop a move and roll it back.
 *
 * @param name name of the move
 * @param reason reason given by the operator
 */
public record MoveStop(String name, String reason) implements Resource {

  /** Validates the components. */
  public MoveStop {
    notBlank(name, "name");
    notNull(reason, "reason");
  }
}
