package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Map;
import java.util.Set;

/**
 * Target versions of a service, as recorded on the log.
 *
 * @param service name of the service
 * @param versions all accepted target versions
 * @param current the target version that serves the traffic outside of moves
 * @param currentByRoute target version of each route that a move of that route alone has brought to
 *     another target version than {@code current}
 */
public record ServiceState(
    String service, Set<String> versions, String current, Map<String, String> currentByRoute) {

  /** Validates the components and copies the collections. */
  public ServiceState {
    notBlank(service, "service");
    versions = Set.copyOf(notNull(versions, "versions"));
    notBlank(current, "current");
    check(versions.contains(current), "current", "must be one of the versions");
    currentByRoute = Map.copyOf(notNull(currentByRoute, "currentByRoute"));
    check(
        versions.containsAll(currentByRoute.values()),
        "currentByRoute",
        "must contain only values that are among the versions");
  }

  /**
   * Creates the state of a service whose routes are all on its current target version.
   *
   * @param service name of the service
   * @param versions all accepted target versions
   * @param current the target version that serves the traffic
   */
  public ServiceState(String service, Set<String> versions, String current) {
    this(service, versions, current, Map.of());
  }

  /**
   * Returns the target version that serves the traffic of a route outside of moves.
   *
   * @param route name of the route
   * @return the target version
   */
  public String currentFor(String route) {
    return currentByRoute.getOrDefault(route, current);
  }
}
