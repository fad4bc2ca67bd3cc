package org.cuminlatch.core.config;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminlatch.core.error.CuminlatchException;

/**
 * Routes that this instance has in force: those on the ledger that have a body it can read.
 *
 * <p>For each route, the first readable body in the order of the ledger is in force: bodies of the
 * last record first, newest schema version first. A body that contradicts its envelope counts as
 * unreadable.
 */
final class RouteReader {

  private final BodyDecoder bodies;
  private final Set<Integer> schemaVersions;
  private final Map<String, RouteInForce> routesInForce = new HashMap<>();

  RouteReader(BodyDecoder bodies, Set<Integer> schemaVersions) {
    this.bodies = bodies;
    this.schemaVersions = Set.copyOf(schemaVersions);
  }

  /**
   * Reads a route again after a record on it was accepted.
   *
   * @param stored the route on the ledger
   * @return version on the log and version in force
   */
  ResourceStatus read(StoredResource stored) {
    for (StoredBody body : stored.bodies()) {
      Optional<Route> route = decode(stored.key(), body);
      if (route.isPresent()) {
        routesInForce.put(stored.key().name(), new RouteInForce(route.get(), body.version()));
        return new ResourceStatus(stored.version(), body.version());
      }
    }
    routesInForce.remove(stored.key().name());
    return new ResourceStatus(stored.version(), 0);
  }

  void remove(String route) {
    routesInForce.remove(route);
  }

  Optional<RouteInForce> inForce(String route) {
    return Optional.ofNullable(routesInForce.get(route));
  }

  private Optional<Route> decode(ResourceKey key, StoredBody stored) {
    if (!schemaVersions.contains(stored.body().schemaVersion())) {
      return Optional.empty();
    }
    try {
      Resource resource = bodies.decode(key.kind(), stored.body());
      return Optional.of((Route) resource).filter(route -> matchesEnvelope(route, key, stored));
    } catch (CuminlatchException e) {
      return Optional.empty();
    }
  }

  private static boolean matchesEnvelope(Route route, ResourceKey key, StoredBody stored) {
    return route.name().equals(key.name())
        && stored.references().contains(ResourceKey.service(route.service()));
  }

  /**
   * A route in force.
   *
   * @param route the route
   * @param version version of the route at the record that contains it
   */
  record RouteInForce(Route route, long version) {}
}
