package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNegative;

import java.time.Duration;

/**
 * Limit on the requests of a service's targets that are cold, as after their start.
 *
 * @param period time after its start for which a target is cold unless its reports say otherwise
 * @param perSecond requests per second that a cold target gets from all nodes together; more than 0
 */
public record ColdStart(Duration period, double perSecond) {

  /** Validates the components. */
  public ColdStart {
    notNegative(period.toNanos(), "period");
    check(perSecond > 0 && perSecond < Double.POSITIVE_INFINITY, "perSecond", "must be a rate");
  }
}
