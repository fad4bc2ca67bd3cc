package org.cuminlatch.core.move;

import java.util.Collection;
import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.membership.Member;

/**
 * Slots of the targets that take calls.
 *
 * @param old slots of the old version
 * @param fresh slots of the new version
 */
record ReadySlots(int old, int fresh) {

  private static final double USABLE_PART = 0.8;

  /** Counts the slots of a region, or of the whole mesh if the region has none of the service. */
  static ReadySlots of(Collection<Member> members, Move move, String region) {
    ReadySlots within = count(members, move, region);
    return within.old + within.fresh > 0 ? within : count(members, move, null);
  }

  private static ReadySlots count(Collection<Member> members, Move move, String region) {
    int old = 0;
    int fresh = 0;
    for (Member member : members) {
      boolean counts =
          member.acceptsCalls()
              && member.service().equals(move.service())
              && (region == null || member.locality().region().equals(region));
      if (counts && member.targetVersion().equals(move.to())) {
        fresh += member.slots();
      } else if (counts && member.targetVersion().equals(move.from())) {
        old += member.slots();
      }
    }
    return new ReadySlots(old, fresh);
  }

  /**
   * Returns the largest share that the new version can take: what fits into most of its slots, and
   * in any case as much as loads them no more than the old version's slots are loaded now.
   */
  double shareCap(double busySlots) {
    if (fresh == 0) {
      return 0;
    }
    double byDemand = busySlots <= 0 ? 1 : USABLE_PART * fresh / busySlots;
    double byNumber = old == 0 ? 1 : (double) fresh / old;
    return Math.min(1, Math.max(byDemand, byNumber));
  }
}
