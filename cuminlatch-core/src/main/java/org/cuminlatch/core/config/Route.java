package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Map;
import java.util.Optional;

/**
 * Rule that routes matching requests to a service.
 *
 * @param name unique name
 * @param host host to match; any host if empty
 * @param pathPrefix prefix of the path to match, starts with a slash
 * @param headers request headers that must be present with exactly these values
 * @param service name of the service that serves the route
 * @param limits limits on the calls of the route
 * @param stickyHeader request header whose value keeps a caller on one target version
 * @param policy rules for the calls beyond the limits
 */
public record Route(
    String name,
    Optional<String> host,
    String pathPrefix,
    Map<String, String> headers,
    String service,
    CallLimits limits,
    Optional<String> stickyHeader,
    RoutePolicy policy)
    implements Resource {

  /** Validates the components and copies the headers. */
  public Route {
    notBlank(name, "name");
    notNull(host, "host");
    notBlank(pathPrefix, "pathPrefix");
    check(pathPrefix.startsWith("/"), "pathPrefix", "must start with a slash");
    headers = Map.copyOf(notNull(headers, "headers"));
    notBlank(service, "service");
    notNull(limits, "limits");
    notNull(stickyHeader, "stickyHeader");
    notNull(policy, "policy");
  }

  /**
   * Creates a route with the default policy.
   *
   * @param name unique name
   * @param host host to match; any host if empty
   * @param pathPrefix prefix of the path to match
   * @param headers request headers that must be present with exactly these values
   * @param service name of the service that serves the route
   * @param limits limits on the calls of the route
   * @param stickyHeader request header whose value keeps a caller on one target version
   */
  public Route(
      String name,
      Optional<String> host,
      String pathPrefix,
      Map<String, String> headers,
      String service,
      CallLimits limits,
      Optional<String> stickyHeader) {
    this(name, host, pathPrefix, headers, service, limits, stickyHeader, RoutePolicy.DEFAULT);
  }

  /**
   * Creates a route with default limits that matches requests by path alone.
   *
   * @param name unique name
   * @param pathPrefix prefix of the path to match
   * @param service name of the service
   * @return the route
   */
  public static Route of(String name, String pathPrefix, String service) {
    return new Route(
        name,
        Optional.empty(),
        pathPrefix,
        Map.of(),
        service,
        CallLimits.defaults(),
        Optional.empty());
  }

  /**
   * Returns a copy of this route with other limits.
   *
   * @param newLimits the limits of the copy
   * @return the copy
   */
  public Route withLimits(CallLimits newLimits) {
    return new Route(name, host, pathPrefix, headers, service, newLimits, stickyHeader, policy);
  }
}
