package org.cuminlatch.core.route;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
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

  private static final String ANY_HOST = "";
  private static final Comparator<Route> MOST_SPECIFIC_FIRST =
      Comparator.comparing((Route route) -> route.host().isEmpty())
          .thenComparing(route -> -route.pathPrefix().length())
          .thenComparing(route -> -route.headers().size())
          .thenComparing(Route::name);

  private final Snapshot snapshot;
  private final Map<String, Map<String, List<Route>>> byHostAndPrefix = new HashMap<>();

  private RouteTable(Snapshot snapshot) {
    this.snapshot = snapshot;
    snapshot.routes().values().stream().sorted(MOST_SPECIFIC_FIRST).forEach(this::add);
  }

  private void add(Route route) {
    byHostAndPrefix
        .computeIfAbsent(hostKey(route.host().orElse(ANY_HOST)), unused -> new HashMap<>())
        .computeIfAbsent(route.pathPrefix(), unused -> new ArrayList<>(1))
        .add(route);
  }

  private static String hostKey(String host) {
    return host.toLowerCase(Locale.ROOT);
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
    Optional<Route> ofHost =
        request.host().isEmpty()
            ? Optional.empty()
            : longestPrefix(byHostAndPrefix.get(hostKey(request.host())), request);
    return ofHost.isPresent() ? ofHost : longestPrefix(byHostAndPrefix.get(ANY_HOST), request);
  }

  /** Looks up each prefix of the path that ends at a segment, the longest first. */
  private static Optional<Route> longestPrefix(
      Map<String, List<Route>> routesByPrefix, RequestHead request) {
    if (routesByPrefix == null) {
      return Optional.empty();
    }
    String path = request.path();
    for (int end = path.length(); end > 0; end = path.lastIndexOf('/', end - 1)) {
      Optional<Route> found = Optional.empty();
      if (end < path.length()) {
        found = first(routesByPrefix.get(path.substring(0, end + 1)), request);
      }
      if (found.isEmpty()) {
        found = first(routesByPrefix.get(path.substring(0, end)), request);
      }
      if (found.isPresent()) {
        return found;
      }
    }
    return path.startsWith("/") ? first(routesByPrefix.get("/"), request) : Optional.empty();
  }

  private static Optional<Route> first(List<Route> routes, RequestHead request) {
    if (routes != null) {
      for (Route route : routes) {
        if (headersMatch(route.headers(), request)) {
          return Optional.of(route);
        }
      }
    }
    return Optional.empty();
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
