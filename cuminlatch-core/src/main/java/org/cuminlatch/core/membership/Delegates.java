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
 * Which members of each zone speak with other zones: the first few by rendezvous hashing, and the
 * first of all with the other region.
 */
final class Delegates {

  private static final String ROLE = "delegate";

  private static final Duration INTERVAL = Duration.ofMillis(500);

  private final Roster roster;
  private final Locality own;
  private final String self;
  private final int perZone;
  private final Map<Locality, List<Member>> byZone = new HashMap<>();
  private Instant refreshedAt = Instant.EPOCH;
  private long seenRevision = -1;

  Delegates(Roster roster, Member self, int perZone) {
    this.roster = roster;
    this.own = self.locality();
    this.self = self.instance();
    this.perZone = perZone;
  }

  /** Takes in the roster as it is now, at most once in an interval. */
  void refresh(Instant now) {
    boolean lately = refreshedAt.plus(INTERVAL).isAfter(now);
    if (lately || seenRevision == roster.revision()) {
      return;
    }
    refreshedAt = now;
    seenRevision = roster.revision();
    byZone.clear();
  }

  List<Member> of(Locality zone) {
    return byZone.computeIfAbsent(zone, this::rank);
  }

  boolean isDelegate() {
    return of(own).stream().anyMatch(this::isSelf);
  }

  boolean isHead() {
    List<Member> delegates = of(own);
    return !delegates.isEmpty() && isSelf(delegates.get(0));
  }

  List<Locality> zonesAt(Distance distance) {
    List<Locality> found = new ArrayList<>();
    roster
        .zones()
        .forEach(
            (zone, state) -> {
              if (own.distanceTo(zone) == distance && !state.live().isEmpty()) {
                found.add(zone);
              }
            });
    return found;
  }

  private boolean isSelf(Member member) {
    return member.instance().equals(self);
  }

  private List<Member> rank(Locality zone) {
    List<Member> live = roster.live(zone);
    List<Member> alive = live.stream().filter(m -> m.status() == Status.ALIVE).toList();
    List<Member> ranked = Rendezvous.rank(ROLE, alive.isEmpty() ? live : alive);
    return ranked.subList(0, Math.min(perZone, ranked.size()));
  }
}
