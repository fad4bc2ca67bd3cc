package org.cuminlatch.core.membership;

import java.util.Collection;
import java.util.Optional;

/** Read-only view of the members on the roster of an instance. */
public interface MembershipView {

  /**
   * Returns all known members, this instance included, dead ones excluded.
   *
   * @return the members
   */
  Collection<Member> members();

  /**
   * Returns a known member.
   *
   * @param instance name of the instance
   * @return the member, empty if unknown or dead
   */
  Optional<Member> member(String instance);
}
