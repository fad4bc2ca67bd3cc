package org.cuminlatch.core.move;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;

/**
 * An operator's order to move all calls of a service to one target version.
 *
 * @param id number of the order's position among all records of operators, see {@link
 *     OrderPosition}; a repeated order gets a new one
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

  /**
   * Returns the same order at another position.
   *
   * @param otherId number of the other position
   * @return the order
   */
  public MoveOrder withId(long otherId) {
    return new MoveOrder(otherId, service, version, length);
  }

  /**
   * Returns whether another order has the same content, whatever its position.
   *
   * @param other the other order
   * @return true if all but the ids are equal, the length in the microseconds that nodes tell
   */
  public boolean hasContentOf(MoveOrder other) {
    return service.equals(other.service)
        && version.equals(other.version)
        && length.toNanos() / 1000 == other.length.toNanos() / 1000;
  }
}
