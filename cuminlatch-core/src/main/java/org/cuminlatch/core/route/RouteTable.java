package org.cuminlatch.core.route;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.Snapshot;

/**
 * The routes of one configuration version in the order in which they are tried.
 *
 * <p>A route that names a host goes before one that does not, then the longer path prefix, then
 * more headers, then the name.
 */
public final class RouteTable {

  private static final Comparator<Route> MOST_SPECIFIC_FIRST =
      Comparator.comparing((Route route) -> route.host().isEmpty())
          .thenComparing(route -> -route.pathPrefix().length())
          .thenComparing(route -> -route.headers().size())
          .thenComparing(Route::name);

  private final Snapshot snapshot;
  private final List<Route> routes;

  private RouteTable(Snapshot snapshot) {
    this.snapshot = snapshot;
    this.routes = snapshot.routes().values().stream().sorted(MOST_SPECIFIC_FIRST).toList();
  }

  /**
   * Orders the routes of a snapshot.
   *
   * @param snapshot the configuration
   * @return the table
   */
  public static RouteTable of(Snapshot snapshot) {
    return new RouteTable(notNull(snapshot, "snapshot"));
  }

  /**
   * Returns the configuration that the table was built from.
   *
   * @return the snapshot
   */
  public Snapshot snapshot() {
    return snapshot;
  }

  /**
   * Finds the route of a request.
   *
   * @param request the request
   * @return the most specific route that matches, empty if none does
   */
  public Optional<Route> match(RequestHead request) {
    for (Route route : routes) {
      if (matches(route, request)) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  private static boolean matches(Route route, RequestHead request) {
    return hostMatches(route, request.host())
        && pathMatches(route.pathPrefix(), request.path())
        && headersMatch(route.headers(), request);
  }

  private static boolean hostMatches(Route route, String host) {
    return route.host().isEmpty() || route.host().get().equalsIgnoreCase(host);
  }

  private static boolean pathMatches(String prefix, String path) {
    if (!path.startsWith(prefix)) {
      return false;
    }
    return prefix.endsWith("/")
        || path.length() == prefix.length()
        || path.charAt(prefix.length()) == '/';
  }

  private static boolean headersMatch(Map<String, String> wanted, RequestHead request) {
    for (Map.Entry<String, String> header : wanted.entrySet()) {
      if (!request.header(header.getKey()).map(header.getValue()::equals).orElse(false)) {
        return false;
      }
    }
    return true;
  }
}
