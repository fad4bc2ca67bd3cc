package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.inRange;
import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * A scheduled move of a service's traffic from one target version to another.
 *
 * @param name unique name
 * @param service name of the service
 * @param route the only route to move, all routes of the service if empty
 * @param from target version that holds the traffic
 * @param to target version that is to take it
 * @param start when the first step may begin
 * @param deadline by when the outcome must be stated
 * @param steps shares of traffic of the new version, rising, each above 0 and at most 1; empty asks
 *     for the default plan
 * @param soak how long the new version must hold all traffic before the move is done
 * @param regionByRegion whether the regions move one after the other
 */
public record Move(
    String name,
    String service,
    Optional<String> route,
    String from,
    String to,
    Instant start,
    Instant deadline,
    List<Double> steps,
    Duration soak,
    boolean regionByRegion)
    implements Resource {

  /** Checks the fields and copies the steps. */
  public Move {
    notBlank(name, "name");
    notBlank(service, "service");
    notNull(route, "route");
    notBlank(from, "from");
    notBlank(to, "to");
    notNull(start, "start");
    notNull(deadline, "deadline");
    steps = List.copyOf(notNull(steps, "steps"));
    steps.forEach(share -> inRange(share, 0, 1, "steps"));
    notNull(soak, "soak");
    check(!soak.isNegative(), "soak", "must not be negative");
  }
}
