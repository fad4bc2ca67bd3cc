package org.cuminlatch.core.move;

import java.util.Collection;
import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.membership.Member;

/**
 * Number of slots of the targets that take calls.
 *
 * @param oldSlots slots of the old version
 * @param newSlots slots of the new version
 */
record ReadySlots(int oldSlots, int newSlots) {

  private static final double USABLE_SLOT_FRACTION = 0.8;

  /** Counts the slots of a region, or of the whole mesh if the region has none of the service. */
  static ReadySlots of(Collection<Member> members, Move move, String region) {
    ReadySlots inRegion = count(members, move, region);
    return inRegion.oldSlots + inRegion.newSlots > 0 ? inRegion : count(members, move, null);
  }

  private static ReadySlots count(Collection<Member> members, Move move, String region) {
    int oldSlots = 0;
    int newSlots = 0;
    for (Member member : members) {
      boolean isCounted =
          member.acceptsCalls()
              && member.service().equals(move.service())
              && (region == null || member.locality().region().equals(region));
      if (isCounted && member.targetVersion().equals(move.to())) {
        newSlots += member.slots();
      } else if (isCounted && member.targetVersion().equals(move.from())) {
        oldSlots += member.slots();
      }
    }
    return new ReadySlots(oldSlots, newSlots);
  }

  /**
   * Returns the largest share that the new version can take: the share that keeps at most {@link
   * #USABLE_SLOT_FRACTION} of its slots busy, or the ratio of new to old slots if that is larger.
   */
  double shareCap(double busySlots) {
    if (newSlots == 0) {
      return 0;
    }
    double shareByDemand = busySlots <= 0 ? 1 : USABLE_SLOT_FRACTION * newSlots / busySlots;
    double shareBySlotCount = oldSlots == 0 ? 1 : (double) newSlots / oldSlots;
    return Math.min(1, Math.max(shareByDemand, shareBySlotCount));
  }
}
