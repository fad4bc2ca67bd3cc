package org.cuminlatch.core.spread;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.membership.Locality.Distance;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.membership.MembershipView;

/**
 * Whom to pull missing records from, and when: the nearest members that have announced a higher
 * version; across regions only a head does, and only if nobody nearer has more.
 */
final class PullRepair {

  /** What the search for members ahead depends on; a view's collection never changes. */
  private record Basis(Collection<Member> members, long version, boolean head) {

    private boolean isSame(Basis other) {
      return members == other.members && version == other.version && head == other.head;
    }
  }

  private final MembershipView view;
  private final Member self;
  private final SpreadSettings settings;
  private final RandomGenerator random;
  private Basis basis;
  private List<Member> ahead = List.of();
  private Instant behindSince;
  private Instant askedAt = Instant.EPOCH;

  PullRepair(MembershipView view, Member self, SpreadSettings settings, RandomGenerator random) {
    this.view = view;
    this.self = self;
    this.settings = settings;
    this.random = random;
  }

  /** Returns whom to ask now, if anyone. */
  Optional<Member> due(long version, boolean head, Instant now) {
    List<Member> ahead = nearestAhead(version, head);
    if (ahead.isEmpty()) {
      behindSince = null;
      return Optional.empty();
    }
    if (behindSince == null) {
      behindSince = now;
    }
    boolean pushMayCome = behindSince.plus(settings.pullGrace()).isAfter(now);
    if (pushMayCome || isAwaited(now)) {
      return Optional.empty();
    }
    asked(now);
    return Optional.of(ahead.get(random.nextInt(ahead.size())));
  }

  boolean isAwaited(Instant now) {
    return askedAt.plus(settings.pullTimeout()).isAfter(now);
  }

  void asked(Instant now) {
    askedAt = now;
  }

  void answered() {
    askedAt = Instant.EPOCH;
    behindSince = null;
  }

  private List<Member> nearestAhead(long version, boolean head) {
    Basis current = new Basis(view.members(), version, head);
    if (basis == null || !basis.isSame(current)) {
      basis = current;
      ahead = find(version, head);
    }
    return ahead;
  }

  private List<Member> find(long version, boolean head) {
    List<Member> nearest = new ArrayList<>();
    Distance best = head ? Distance.OTHER_REGION : Distance.SAME_REGION;
    for (Member member : view.members()) {
      if (member.configVersion() <= version) {
        continue;
      }
      Distance distance = self.locality().distanceTo(member.locality());
      if (distance.compareTo(best) < 0) {
        nearest.clear();
        best = distance;
      }
      if (distance == best) {
        nearest.add(member);
      }
    }
    return nearest;
  }
}
