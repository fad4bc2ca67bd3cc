package org.cuminlatch.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.cuminlatch.core.hash.StableHash;

/**
 * Rendezvous hashing (highest random weight): ranks instances for a role, so that all nodes with
 * the same view of the members agree without communication.
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
   * @return the weight, to be compared as an unsigned number
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
    record WeightedMember(Member member, long weight) {}

    Comparator<WeightedMember> byWeight = (a, b) -> Long.compareUnsigned(b.weight(), a.weight());
    return members.stream()
        .map(member -> new WeightedMember(member, weight(role, member.instance())))
        .sorted(byWeight.thenComparing(weighted -> weighted.member().instance()))
        .map(WeightedMember::member)
        .toList();
  }
}
