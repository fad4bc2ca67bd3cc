package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notBlank;

/**
 * Request to remove a route.
 *
 * @param name name of the route
 */
public record RouteRemoval(String name) implements Resource {

  /** Validates the component. */
  public RouteRemoval {
    notBlank(name, "name");
  }
}
