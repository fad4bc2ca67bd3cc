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
 * History of members and version shares from which the ownership of idempotency keys is derived.
 *
 * <p>Not thread-safe.
 */
public final class KeyOwnershipHistory {

  /** Maximum number of retained views; a key does not count as owned before the oldest one. */
  public static final int MAX_VIEWS = 64;

  private final Deque<View> viewsNewestFirst = new ArrayDeque<>();

  /**
   * Adds a change of the members or the shares.
   *
   * @param view members and shares from now on
   */
  public void observe(View view) {
    viewsNewestFirst.addFirst(notNull(view, "view"));
    if (viewsNewestFirst.size() > MAX_VIEWS) {
      viewsNewestFirst.removeLast();
    }
  }

  /**
   * Returns the time since which an instance has owned a key without interruption.
   *
   * @param instance name of the instance
   * @param service service of its target
   * @param route name of the route
   * @param key the idempotency key
   * @return the time; empty if the instance does not own the key now
   */
  public Optional<Instant> ownedSince(String instance, String service, String route, String key) {
    Optional<Instant> since = Optional.empty();
    Iterator<View> views = viewsNewestFirst.iterator();
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
   * Members and version shares that apply from a point in time until the next view.
   *
   * @param since the point in time
   * @param members members by service
   * @param sharesByRoute shares of the target versions by route
   * @param current current target version of the service
   */
  public record View(
      Instant since,
      ServiceIndex members,
      Map<String, List<VersionShare>> sharesByRoute,
      String current) {

    /** Validates the components and copies the shares. */
    public View {
      notNull(since, "since");
      notNull(members, "members");
      sharesByRoute = Map.copyOf(notNull(sharesByRoute, "sharesByRoute"));
      notNull(current, "current");
    }

    Optional<String> owner(String service, String route, String key) {
      List<VersionShare> shares = sharesByRoute.getOrDefault(route, List.of());
      for (String version : VersionChoice.rank(shares, current, service, key)) {
        List<Member> owners = KeyOwners.ranked(members.serving(service, version), key);
        if (!owners.isEmpty()) {
          return Optional.of(owners.get(0).instance());
        }
      }
      return Optional.empty();
    }
  }
}
