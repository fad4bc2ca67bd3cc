package org.cuminlatch.node.control;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Collection;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Member;

/** Tests whether a control address belongs to a member in another region; thread-safe. */
final class OtherRegionAddresses implements Predicate<Address> {

  private final String localRegion;
  private volatile Set<Address> addresses = Set.of();

  OtherRegionAddresses(String localRegion) {
    this.localRegion = notNull(localRegion, "localRegion");
  }

  @Override
  public boolean test(Address address) {
    return addresses.contains(address);
  }

  void refresh(Collection<Member> members) {
    addresses =
        members.stream()
            .filter(member -> !member.locality().region().equals(localRegion))
            .map(Member::controlAddress)
            .collect(Collectors.toUnmodifiableSet());
  }
}
