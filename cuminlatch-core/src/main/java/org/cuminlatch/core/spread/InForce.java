package org.cuminlatch.core.spread;

import static org.cuminlatch.core.Preconditions.notNegative;

/**
 * Number of members that have a configuration version in force.
 *
 * @param version the version
 * @param count number of members that have it, or a later one, in force
 * @param members total number of members that were counted
 */
public record InForce(long version, int count, int members) {

  /** Count before any member has been counted. */
  public static final InForce UNKNOWN = new InForce(0, 0, 0);

  /** Checks the fields. */
  public InForce {
    notNegative(version, "version");
    notNegative(count, "count");
    notNegative(members, "members");
  }

  /**
   * Returns whether all members have the version in force.
   *
   * @return true if every counted member has it; false if none was counted
   */
  public boolean everywhere() {
    return members > 0 && count == members;
  }
}
