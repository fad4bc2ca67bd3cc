package org.cuminlatch.core.move;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;

/**
 * An operator's order to move all calls of a service to one target version.
 *
 * @param id position of the order among all records of operators; a repeated order gets a new one
 * @param service name of the service
 * @param version target version that all calls are moved to
 * @param length time from the order to its deadline, not negative
 */
public record MoveOrder(long id, String service, String version, Duration length) {

  /** Validates the components. */
  public MoveOrder {
    notNegative(id, "id");
    notBlank(service, "service");
    notBlank(version, "version");
    check(!notNull(length, "length").isNegative(), "length", "must not be negative");
  }
}
