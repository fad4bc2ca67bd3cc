package org.cuminlatch.core.route;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.cuminlatch.core.account.AccountDirectory;
import org.cuminlatch.core.config.ClientAccount;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.Snapshot;

/**
 * Matches requests to the routes of one configuration version, the most specific route first.
 *
 * <p>Routes that name a host take precedence over those that don't, then routes with a longer path
 * prefix, then routes with more headers; remaining ties are resolved by the name.
 */
public final class RouteTable {

  private static final String ANY_HOST = "";
  private static final Comparator<Route> MOST_SPECIFIC_FIRST =
      Comparator.comparing((Route route) -> route.host().isEmpty())
          .thenComparing(route -> -route.pathPrefix().length())
          .thenComparing(route -> -route.headers().size())
          .thenComparing(Route::name);

  /** Differs from process to process, so that callers can't know it. */
  private static final String ACCOUNT_SECRET = Long.toHexString(new SplittableRandom().nextLong());

  private final Snapshot snapshot;
  private final AccountDirectory accounts;
  private final Map<String, Map<String, List<Route>>> routesByHostAndPrefix = new HashMap<>();

  private RouteTable(Snapshot snapshot) {
    this.snapshot = snapshot;
    this.accounts = AccountDirectory.of(snapshot.accounts().values(), ACCOUNT_SECRET);
    snapshot.routes().values().stream().sorted(MOST_SPECIFIC_FIRST).forEach(this::add);
  }

  private void add(Route route) {
    routesByHostAndPrefix
        .computeIfAbsent(hostKey(route.host().orElse(ANY_HOST)), unused -> new HashMap<>())
        .computeIfAbsent(route.pathPrefix(), unused -> new ArrayList<>(1))
        .add(route);
  }

  private static String hostKey(String host) {
    return host.toLowerCase(Locale.ROOT);
  }

  /**
   * Builds the table of a configuration.
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
   * Returns the client accounts of the configuration.
   *
   * @return the accounts, found by their keys
   */
  public AccountDirectory accounts() {
    return accounts;
  }

  /**
   * Returns the regions in which a call may run. A call that waits or is retried follows a change
   * of the configuration, as its body must not go to a region that is no longer a home.
   *
   * @param route route of the call in the configuration that was in force when it arrived
   * @param account client account of the call in that configuration; empty if it has none
   * @return the regions by this configuration, or by the earlier one for what this one lacks
   */
  public HomeRegions homeRegions(Route route, Optional<ClientAccount> account) {
    Route currentRoute = snapshot.routes().getOrDefault(route.name(), route);
    Set<String> ofAccount =
        account
            .map(known -> snapshot.accounts().getOrDefault(known.name(), known).homeRegions())
            .orElse(Set.of());
    return HomeRegions.of(currentRoute.policy().homeRegions(), ofAccount);
  }

  /**
   * Finds the route of a request.
   *
   * @param request the request
   * @return the most specific route that matches; empty if none does
   */
  public Optional<Route> match(RequestHead request) {
    Optional<Route> hostMatch =
        request.host().isEmpty()
            ? Optional.empty()
            : longestPrefix(routesByHostAndPrefix.get(hostKey(request.host())), request);
    return hostMatch.isPresent()
        ? hostMatch
        : longestPrefix(routesByHostAndPrefix.get(ANY_HOST), request);
  }

  /** Looks up each prefix of the path that ends at a segment boundary, the longest first. */
  private static Optional<Route> longestPrefix(
      Map<String, List<Route>> routesByPrefix, RequestHead request) {
    if (routesByPrefix == null) {
      return Optional.empty();
    }
    String path = request.path();
    for (int end = path.length(); end > 0; end = path.lastIndexOf('/', end - 1)) {
      Optional<Route> found = Optional.empty();
      if (end < path.length()) {
        found = firstMatch(routesByPrefix.get(path.substring(0, end + 1)), request);
      }
      if (found.isEmpty()) {
        found = firstMatch(routesByPrefix.get(path.substring(0, end)), request);
      }
      if (found.isPresent()) {
        return found;
      }
    }
    return path.startsWith("/") ? firstMatch(routesByPrefix.get("/"), request) : Optional.empty();
  }

  private static Optional<Route> firstMatch(List<Route> routes, RequestHead request) {
    if (routes != null) {
      for (Route route : routes) {
        if (headersMatch(route.headers(), request)) {
          return Optional.of(route);
        }
      }
    }
    return Optional.empty();
  }

  private static boolean headersMatch(Map<String, String> expectedHeaders, RequestHead request) {
    for (Map.Entry<String, String> header : expectedHeaders.entrySet()) {
      if (!request.header(header.getKey()).map(header.getValue()::equals).orElse(false)) {
        return false;
      }
    }
    return true;
  }
}
