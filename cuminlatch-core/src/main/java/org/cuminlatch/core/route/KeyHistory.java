package org.cuminlatch.core.route;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.move.VersionShares.VersionShare;

/**
 * Which keys an instance has owned since when, by the members and shares that it has seen.
 *
 * <p>Not safe for use by many threads.
 */
public final class KeyHistory {

  /** Most views that are kept; what came before them counts as not owned. */
  public static final int MAX_VIEWS = 64;

  private final Deque<View> newestFirst = new ArrayDeque<>();

  /**
   * Takes a change of the members or the shares.
   *
   * @param view what is seen from now on
   */
  public void observe(View view) {
    newestFirst.addFirst(notNull(view, "view"));
    if (newestFirst.size() > MAX_VIEWS) {
      newestFirst.removeLast();
    }
  }

  /**
   * Returns since when an instance has owned a key without a break.
   *
   * @param instance the instance
   * @param service service of its target
   * @param route name of the route
   * @param key the key
   * @return the time, empty if it does not own the key now
   */
  public Optional<Instant> ownedSince(String instance, String service, String route, String key) {
    Optional<Instant> since = Optional.empty();
    Iterator<View> views = newestFirst.iterator();
    while (views.hasNext()) {
      View view = views.next();
      if (!view.owner(service, route, key).map(instance::equals).orElse(false)) {
        return since;
      }
      since = Optional.of(view.since());
    }
    return since;
  }

  /**
   * Members and shares in force from one time on.
   *
   * @param since the time
   * @param members members by service
   * @param sharesByRoute shares of the target versions by route
   * @param current the current target version of the service
   */
  public record View(
      Instant since,
      ServiceIndex members,
      Map<String, List<VersionShare>> sharesByRoute,
      String current) {

    /** Checks the fields and copies the shares. */
    public View {
      notNull(since, "since");
      notNull(members, "members");
      sharesByRoute = Map.copyOf(notNull(sharesByRoute, "sharesByRoute"));
      notNull(current, "current");
    }

    Optional<String> owner(String service, String route, String key) {
      List<VersionShare> shares = sharesByRoute.getOrDefault(route, List.of());
      for (String version : VersionChoice.order(shares, current, service, key)) {
        List<Member> owners = KeyOwners.inOrder(members.serving(service, version), key);
        if (!owners.isEmpty()) {
          return Optional.of(owners.get(0).instance());
        }
      }
      return Optional.empty();
    }
  }
}
