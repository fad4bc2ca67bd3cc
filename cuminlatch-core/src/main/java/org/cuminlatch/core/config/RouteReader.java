package org.cuminlatch.core.config;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminlatch.core.error.CuminlatchException;

/**
 * What one instance can read of the routes on the ledger.
 *
 * <p>Of each route it keeps in force the first body that it can read, in the order in which the
 * ledger keeps them: those of the last record first, newest schema version first. A body that
 * contradicts its envelope counts as unreadable.
 */
final class RouteReader {

  private final BodyDecoder bodies;
  private final Set<Integer> schemaVersions;
  private final Map<String, Reading> readings = new HashMap<>();

  RouteReader(BodyDecoder bodies, Set<Integer> schemaVersions) {
    this.bodies = bodies;
    this.schemaVersions = Set.copyOf(schemaVersions);
  }

  /**
   * Reads a route anew after a record about it was accepted.
   *
   * @param stored the route on the ledger
   * @return version on the log and version in force
   */
  ResourceStatus read(StoredResource stored) {
    for (StoredBody body : stored.bodies()) {
      Optional<Route> route = decode(stored.key(), body);
      if (route.isPresent()) {
        readings.put(stored.key().name(), new Reading(route.get(), body.version()));
        return new ResourceStatus(stored.version(), body.version());
      }
    }
    readings.remove(stored.key().name());
    return new ResourceStatus(stored.version(), 0);
  }

  void forget(String route) {
    readings.remove(route);
  }

  Optional<Reading> reading(String route) {
    return Optional.ofNullable(readings.get(route));
  }

  private Optional<Route> decode(ResourceKey key, StoredBody stored) {
    if (!schemaVersions.contains(stored.body().schemaVersion())) {
      return Optional.empty();
    }
    try {
      Resource resource = bodies.decode(key.kind(), stored.body());
      return Optional.of((Route) resource).filter(route -> agrees(route, key, stored));
    } catch (CuminlatchException e) {
      return Optional.empty();
    }
  }

  private static boolean agrees(Route route, ResourceKey key, StoredBody stored) {
    return route.name().equals(key.name())
        && stored.references().contains(ResourceKey.service(route.service()));
  }

  /**
   * A route in force.
   *
   * @param route the route
   * @param version version of the record that it stands in
   */
  record Reading(Route route, long version) {}
}
