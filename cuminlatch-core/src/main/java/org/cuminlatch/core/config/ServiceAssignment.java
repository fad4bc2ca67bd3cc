package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.List;

/**
 * Target version that serves the traffic of a service outside of moves.
 *
 * @param service name of the service
 * @param current the target version
 * @param routes routes that are on another target version, ascending by name
 */
public record ServiceAssignment(String service, String current, List<RouteAssignment> routes) {

  /** Validates the components and copies the list. */
  public ServiceAssignment {
    notBlank(service, "service");
    notBlank(current, "current");
    routes = List.copyOf(notNull(routes, "routes"));
  }

  /**
   * Target version that serves the traffic of one route outside of moves.
   *
   * @param route name of the route
   * @param current the target version
   */
  public record RouteAssignment(String route, String current) {

    /** Validates the components. */
    public RouteAssignment {
      notBlank(route, "route");
      notBlank(current, "current");
    }
  }
}
