package org.cuminlatch.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.cuminlatch.core.hash.StableHash;

/**
 * Ranks instances for a role by highest random weight, so that all who know the same members agree.
 *
 * <p>Source: Thaler, Ravishankar, "A Name-Based Mapping Scheme for Rendezvous" (1996).
 */
public final class Rendezvous {

  private Rendezvous() {}

  /**
   * Returns the weight of an instance for a role.
   *
   * @param role name of the role
   * @param instance name of the instance
   * @return the weight, compared as an unsigned number
   */
  public static long weight(String role, String instance) {
    return StableHash.of(role, instance);
  }

  /**
   * Sorts instances by their weight for a role, highest first.
   *
   * @param role name of the role
   * @param members the instances
   * @return the ranking
   */
  public static List<Member> rank(String role, Collection<Member> members) {
    record Weighed(Member member, long weight) {}

    Comparator<Weighed> byWeight = (a, b) -> Long.compareUnsigned(b.weight(), a.weight());
    return members.stream()
        .map(member -> new Weighed(member, weight(role, member.instance())))
        .sorted(byWeight.thenComparing(weighed -> weighed.member().instance()))
        .map(Weighed::member)
        .toList();
  }
}
