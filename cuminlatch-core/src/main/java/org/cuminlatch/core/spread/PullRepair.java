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
 * Decides when to pull missing records and from which member: one of the nearest that have
 * announced a higher version. Only the head of a zone pulls from another region, and only if no
 * nearer member has a higher version.
 */
final class PullRepair {

  /** Inputs of the search for members ahead; a collection returned by the view never changes. */
  private record SearchInputs(Collection<Member> members, long version, boolean isHead) {

    private boolean isSame(SearchInputs other) {
      return members == other.members && version == other.version && isHead == other.isHead;
    }
  }

  private final MembershipView view;
  private final Member self;
  private final SpreadSettings settings;
  private final RandomGenerator random;
  private SearchInputs lastInputs;
  private List<Member> ahead = List.of();
  private Instant behindSince;
  private Instant pullSentAt = Instant.EPOCH;

  PullRepair(MembershipView view, Member self, SpreadSettings settings, RandomGenerator random) {
    this.view = view;
    this.self = self;
    this.settings = settings;
    this.random = random;
  }

  /** Returns the member to pull from now, if a pull is due. */
  Optional<Member> nextPeer(long version, boolean isHead, Instant now) {
    List<Member> ahead = nearestAhead(version, isHead);
    if (ahead.isEmpty()) {
      behindSince = null;
      return Optional.empty();
    }
    if (behindSince == null) {
      behindSince = now;
    }
    boolean inGracePeriod = behindSince.plus(settings.pullGrace()).isAfter(now);
    if (inGracePeriod || isAnswerPending(now)) {
      return Optional.empty();
    }
    onPullSent(now);
    return Optional.of(ahead.get(random.nextInt(ahead.size())));
  }

  /** Returns whether a pull was sent recently and its answer may still arrive. */
  boolean isAnswerPending(Instant now) {
    return pullSentAt.plus(settings.pullTimeout()).isAfter(now);
  }

  void onPullSent(Instant now) {
    pullSentAt = now;
  }

  void onAnswer() {
    pullSentAt = Instant.EPOCH;
    behindSince = null;
  }

  private List<Member> nearestAhead(long version, boolean isHead) {
    SearchInputs current = new SearchInputs(view.members(), version, isHead);
    if (lastInputs == null || !lastInputs.isSame(current)) {
      lastInputs = current;
      ahead = findNearestAhead(version, isHead);
    }
    return ahead;
  }

  private List<Member> findNearestAhead(long version, boolean isHead) {
    List<Member> nearest = new ArrayList<>();
    Distance nearestDistance = isHead ? Distance.OTHER_REGION : Distance.SAME_REGION;
    for (Member member : view.members()) {
      if (member.configVersion() <= version) {
        continue;
      }
      Distance distance = self.locality().distanceTo(member.locality());
      if (distance.compareTo(nearestDistance) < 0) {
        nearest.clear();
        nearestDistance = distance;
      }
      if (distance == nearestDistance) {
        nearest.add(member);
      }
    }
    return nearest;
  }
}
