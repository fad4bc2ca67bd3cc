package org.cuminlatch.core.route;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Member;

/**
 * Regions in which a call may run.
 *
 * @param regions names of the regions, none if no region is left; empty if the call may run in any
 */
public record HomeRegions(Optional<Set<String>> regions) {

  /** No restriction. */
  public static final HomeRegions ANY = new HomeRegions(Optional.empty());

  /** Validates the components and copies the names. */
  public HomeRegions {
    regions = notNull(regions, "regions").map(Set::copyOf);
  }

  /**
   * Combines the home regions of a route and of a client account.
   *
   * @param ofRoute home regions of the route; empty if it names none
   * @param ofAccount home regions of the account; empty if it names none or there is no account
   * @return the regions that are in both lists, or those of the only list
   */
  public static HomeRegions of(Set<String> ofRoute, Set<String> ofAccount) {
    if (ofRoute.isEmpty() && ofAccount.isEmpty()) {
      return ANY;
    }
    if (ofRoute.isEmpty() || ofAccount.isEmpty()) {
      return new HomeRegions(Optional.of(ofRoute.isEmpty() ? ofAccount : ofRoute));
    }
    return new HomeRegions(
        Optional.of(
            ofRoute.stream().filter(ofAccount::contains).collect(Collectors.toUnmodifiableSet())));
  }

  /**
   * Returns whether there are regions in which the call may not run.
   *
   * @return true if only the listed regions are allowed
   */
  public boolean isRestricted() {
    return regions.isPresent();
  }

  /**
   * Returns whether the call may run at a location.
   *
   * @param locality the location
   * @return true if its region is allowed
   */
  public boolean allows(Locality locality) {
    return regions.isEmpty() || regions.get().contains(locality.region());
  }

  /** Returns the members at which the call may run. */
  List<Member> allowedOf(List<Member> members) {
    return regions.isEmpty()
        ? members
        : members.stream().filter(member -> allows(member.locality())).toList();
  }
}
