package org.cuminlatch.core.move;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import org.cuminlatch.core.hash.StableHash;
import org.cuminlatch.core.membership.Member;

/**
 * Selects one aggregator per zone for a move's evidence and ranks the aggregators of all zones.
 *
 * <p>Every node with the same membership selects the same aggregators in the same order.
 *
 * <p>Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (rendezvous
 * hashing), 1998.
 */
final class AggregatorSelection {

  private AggregatorSelection() {}

  /** Returns the aggregator of each zone, the highest-ranked first. */
  static List<Member> rankedAggregators(Collection<Member> members, MoveId move) {
    TreeMap<String, Member> byZone = new TreeMap<>();
    for (Member member : members) {
      if (isEligible(member)) {
        byZone.merge(
            member.locality().region() + '/' + member.locality().zone(),
            member,
            (first, second) -> weight(first, move) >= weight(second, move) ? first : second);
      }
    }
    return byZone.values().stream()
        .sorted(Comparator.comparingLong((Member member) -> weight(member, move)).reversed())
        .toList();
  }

  /**
   * Returns whether a member can be selected. A starting member without a configuration can't,
   * because it has no moves to aggregate.
   */
  static boolean isEligible(Member member) {
    boolean hasNoConfiguration =
        member.phase() == Member.Phase.STARTING && member.configVersion() == 0;
    return member.status() != Member.Status.DEAD
        && member.phase() != Member.Phase.LEFT
        && !hasNoConfiguration;
  }

  private static long weight(Member member, MoveId move) {
    return StableHash.of(member.instance(), move.toString());
  }
}
