package org.cuminlatch.core.route;

import java.util.Comparator;
import java.util.List;
import org.cuminlatch.core.hash.StableHash;
import org.cuminlatch.core.membership.Member;

/**
 * Ranks the targets as owners of an idempotency key; the first one is the owner.
 *
 * <p>Rendezvous hashing: D. Thaler and C. Ravishankar, Using Name-Based Mappings to Increase Hit
 * Rates, IEEE/ACM Transactions on Networking 6(1), 1998. When a member leaves, only its own keys
 * get another owner.
 */
final class KeyOwners {

  private KeyOwners() {}

  static List<Member> ranked(List<Member> candidates, String key) {
    return candidates.stream()
        .sorted(
            Comparator.comparingLong((Member member) -> StableHash.of(member.instance(), key))
                .thenComparing(Member::instance))
        .toList();
  }
}
