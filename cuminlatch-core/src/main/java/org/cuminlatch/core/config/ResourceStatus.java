package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notNegative;

/**
 * Newest version of a resource and the version that an instance has in force.
 *
 * @param version version of the resource: the offset of its last accepted record plus one
 * @param versionInForce version of the record that this instance has in force; 0 if it can read
 *     none
 */
public record ResourceStatus(long version, long versionInForce) {

  /** Validates the components. */
  public ResourceStatus {
    notNegative(version, "version");
    notNegative(versionInForce, "versionInForce");
  }

  /**
   * Returns whether the newest record of the resource is not in force here.
   *
   * @return true if this instance cannot read the newest record
   */
  public boolean isBehind() {
    return versionInForce < version;
  }
}
