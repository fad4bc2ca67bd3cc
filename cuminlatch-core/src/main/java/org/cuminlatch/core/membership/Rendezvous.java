package org.cuminlatch.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Ranks instances for a role by highest random weight, so that all who know the same members agree.
 *
 * <p>Source: Thaler, Ravishankar, "A Name-Based Mapping Scheme for Rendezvous" (1996).
 */
public final class Rendezvous {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private Rendezvous() {}

  /**
   * Returns the weight of an instance for a role.
   *
   * @param role name of the role
   * @param instance name of the instance
   * @return the weight, compared as an unsigned number
   */
  public static long weight(String role, String instance) {
    return mix(hash(instance, hash(role, FNV_OFFSET)));
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

  static long hash(String text, long seed) {
    long hash = seed;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return (hash ^ 0xff) * FNV_PRIME;
  }

  static long mix(long value) {
    long mixed = value;
    mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }
}
