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
 * @param route the route to move; all routes of the service if empty
 * @param from target version that serves the traffic before the move
 * @param to target version that serves the traffic after the move
 * @param start earliest time at which the first step may begin
 * @param deadline time by which the outcome must be appended
 * @param steps shares of traffic of the new version, ascending, each above 0 and at most 1; empty
 *     selects the default plan
 * @param soak time for which the new version must serve all traffic before the move is done
 * @param regionByRegion whether the regions move one after another
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

  /** Validates the components and copies the steps. */
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
