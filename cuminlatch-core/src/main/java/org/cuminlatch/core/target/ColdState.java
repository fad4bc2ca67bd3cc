package org.cuminlatch.core.target;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Instant;

/**
 * Whether a target is cold, as far as its node knows.
 *
 * @param perSecond requests per second that the target gets while it is cold; infinite if its
 *     service has no limit
 * @param coldUntil end of the period for which the target is known to be cold
 * @param knownUntil time from which the target counts as cold because no report says otherwise
 */
public record ColdState(double perSecond, Instant coldUntil, Instant knownUntil) {

  /** State of a target whose service has no limit on cold targets. */
  public static final ColdState UNLIMITED =
      new ColdState(Double.POSITIVE_INFINITY, Instant.MIN, Instant.MAX);

  /** Validates the components. */
  public ColdState {
    check(perSecond >= 0, "perSecond", "must not be negative");
    notNull(coldUntil, "coldUntil");
    notNull(knownUntil, "knownUntil");
  }

  /**
   * Returns whether the target counts as cold.
   *
   * @param now current time
   * @return true if the limit applies
   */
  public boolean isCold(Instant now) {
    return now.isBefore(coldUntil) || !now.isBefore(knownUntil);
  }
}
