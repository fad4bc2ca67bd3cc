package org.cuminlatch.node.control;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Collection;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Member;

/** Control addresses that stand in other regions; any thread may ask. */
final class RegionTable implements Predicate<Address> {

  private final String region;
  private volatile Set<Address> otherRegions = Set.of();

  RegionTable(String region) {
    this.region = notNull(region, "region");
  }

  @Override
  public boolean test(Address address) {
    return otherRegions.contains(address);
  }

  void refresh(Collection<Member> members) {
    otherRegions =
        members.stream()
            .filter(member -> !member.locality().region().equals(region))
            .map(Member::controlAddress)
            .collect(Collectors.toUnmodifiableSet());
  }
}
