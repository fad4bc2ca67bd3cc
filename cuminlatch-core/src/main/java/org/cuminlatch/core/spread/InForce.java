package org.cuminlatch.core.spread;

import static org.cuminlatch.core.Preconditions.notNegative;

/**
 * On how many members a configuration version is in force.
 *
 * @param version the version
 * @param count members that have it, or a later one, in force
 * @param members members that were counted
 */
public record InForce(long version, int count, int members) {

  /** Nothing known yet. */
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
   * @return true if every member counted has it
   */
  public boolean everywhere() {
    return members > 0 && count == members;
  }
}
