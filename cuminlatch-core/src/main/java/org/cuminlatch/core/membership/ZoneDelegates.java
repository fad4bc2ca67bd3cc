package org.cuminlatch.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminlatch.core.membership.Locality.Distance;
import org.cuminlatch.core.membership.Member.Status;

/**
 * Selects the delegates of each zone: the members that exchange membership messages with other
 * zones.
 *
 * <p>The delegates are the members of a zone that rank highest by rendezvous hashing. The first of
 * them, the head of the zone, also communicates with the other region.
 */
final class ZoneDelegates {

  private static final String RENDEZVOUS_ROLE = "delegate";

  private static final Duration MIN_REFRESH_INTERVAL = Duration.ofMillis(500);

  private final Roster roster;
  private final Locality localZone;
  private final String self;
  private final int delegatesPerZone;
  private final Map<Locality, List<Member>> byZone = new HashMap<>();
  private Instant refreshedAt = Instant.EPOCH;
  private long rosterRevision = -1;

  ZoneDelegates(Roster roster, Member self, int delegatesPerZone) {
    this.roster = roster;
    this.localZone = self.locality();
    this.self = self.instance();
    this.delegatesPerZone = delegatesPerZone;
  }

  /** Discards the selection if the roster has changed, at most once per interval. */
  void refresh(Instant now) {
    boolean refreshedRecently = refreshedAt.plus(MIN_REFRESH_INTERVAL).isAfter(now);
    if (refreshedRecently || rosterRevision == roster.revision()) {
      return;
    }
    refreshedAt = now;
    rosterRevision = roster.revision();
    byZone.clear();
  }

  /** Returns the delegates of a zone, the head first. */
  List<Member> of(Locality zone) {
    return byZone.computeIfAbsent(zone, this::rank);
  }

  /** Returns whether this instance is a delegate of its zone. */
  boolean isDelegate() {
    return of(localZone).stream().anyMatch(this::isSelf);
  }

  /** Returns whether this instance is the head of its zone. */
  boolean isHead() {
    List<Member> delegates = of(localZone);
    return !delegates.isEmpty() && isSelf(delegates.get(0));
  }

  /** Returns the zones at a distance from this instance that have live members. */
  List<Locality> zonesAtDistance(Distance distance) {
    List<Locality> matching = new ArrayList<>();
    roster
        .zones()
        .forEach(
            (zone, state) -> {
              if (localZone.distanceTo(zone) == distance && !state.live().isEmpty()) {
                matching.add(zone);
              }
            });
    return matching;
  }

  private boolean isSelf(Member member) {
    return member.instance().equals(self);
  }

  private List<Member> rank(Locality zone) {
    List<Member> live = roster.live(zone);
    List<Member> alive = live.stream().filter(m -> m.status() == Status.ALIVE).toList();
    List<Member> ranked = Rendezvous.rank(RENDEZVOUS_ROLE, alive.isEmpty() ? live : alive);
    return ranked.subList(0, Math.min(delegatesPerZone, ranked.size()));
  }
}
