package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.List;
import java.util.Map;

/**
 * Complete configuration at one configuration version; all of its references resolve.
 *
 * @param version configuration version: the offset after the last record folded, 0 before any
 * @param stateHash hash over the state; equal versions have equal hashes
 * @param routes routes by name
 * @param services services by name
 * @param moves moves by name, including ended ones that are still kept
 * @param resources version and readability of each resource on the log
 * @param callerLimits limits on the requests that a caller sends
 * @param accounts client accounts by name; if there are any, callers of routes that are not public
 *     need a key
 * @param serviceSettings settings of the services that have any, by service
 */
public record Snapshot(
    long version,
    String stateHash,
    Map<String, Route> routes,
    Map<String, ServiceState> services,
    Map<String, MoveState> moves,
    Map<ResourceKey, ResourceStatus> resources,
    CallerLimits callerLimits,
    Map<String, ClientAccount> accounts,
    Map<String, ServiceSettings> serviceSettings) {

  /** Validates the components and copies the maps. */
  public Snapshot {
    notNegative(version, "version");
    notNull(stateHash, "stateHash");
    routes = Map.copyOf(notNull(routes, "routes"));
    services = Map.copyOf(notNull(services, "services"));
    moves = Map.copyOf(notNull(moves, "moves"));
    resources = Map.copyOf(notNull(resources, "resources"));
    notNull(callerLimits, "callerLimits");
    accounts = Map.copyOf(notNull(accounts, "accounts"));
    serviceSettings = Map.copyOf(notNull(serviceSettings, "serviceSettings"));
  }

  /**
   * Creates a snapshot without settings of services.
   *
   * @param version configuration version
   * @param stateHash hash over the state
   * @param routes routes by name
   * @param services services by name
   * @param moves moves by name
   * @param resources version and readability of each resource
   * @param callerLimits limits on the requests that a caller sends
   * @param accounts client accounts by name
   */
  public Snapshot(
      long version,
      String stateHash,
      Map<String, Route> routes,
      Map<String, ServiceState> services,
      Map<String, MoveState> moves,
      Map<ResourceKey, ResourceStatus> resources,
      CallerLimits callerLimits,
      Map<String, ClientAccount> accounts) {
    this(version, stateHash, routes, services, moves, resources, callerLimits, accounts, Map.of());
  }

  /**
   * Creates a snapshot without client accounts and with the default limits for callers.
   *
   * @param version configuration version
   * @param stateHash hash over the state
   * @param routes routes by name
   * @param services services by name
   * @param moves moves by name
   * @param resources version and readability of each resource
   */
  public Snapshot(
      long version,
      String stateHash,
      Map<String, Route> routes,
      Map<String, ServiceState> services,
      Map<String, MoveState> moves,
      Map<ResourceKey, ResourceStatus> resources) {
    this(version, stateHash, routes, services, moves, resources, CallerLimits.DEFAULT, Map.of());
  }

  /**
   * Creates a snapshot without the versions of its resources.
   *
   * @param version configuration version
   * @param stateHash hash over the state
   * @param routes routes by name
   * @param services services by name
   * @param moves moves by name
   */
  public Snapshot(
      long version,
      String stateHash,
      Map<String, Route> routes,
      Map<String, ServiceState> services,
      Map<String, MoveState> moves) {
    this(version, stateHash, routes, services, moves, Map.of());
  }

  /**
   * Returns the settings of a service.
   *
   * @param service name of the service
   * @return its settings, or {@link ServiceSettings#NONE}
   */
  public ServiceSettings settingsOf(String service) {
    return serviceSettings.getOrDefault(service, ServiceSettings.NONE);
  }

  /**
   * Returns the resources whose newest record this instance cannot read.
   *
   * @return their keys in order
   */
  public List<ResourceKey> resourcesBehind() {
    return resources.entrySet().stream()
        .filter(entry -> entry.getValue().isBehind())
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  /**
   * Returns the configuration before any record.
   *
   * @return an empty snapshot at version 0
   */
  public static Snapshot empty() {
    return new Snapshot(0, "", Map.of(), Map.of(), Map.of());
  }
}
