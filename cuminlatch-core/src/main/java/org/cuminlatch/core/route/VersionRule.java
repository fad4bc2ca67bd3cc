package org.cuminlatch.core.route;

import static org.cuminlatch.core.Preconditions.inRange;
import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

/**
 * Split of a service's calls between one target version and all others.
 *
 * @param version the target version that the rule names
 * @param share share of the calls that this version gets, from 0 to 1
 * @param fallback what to do when there is no target of the chosen version
 */
public record VersionRule(String version, double share, Fallback fallback) {

  /** Validates the components. */
  public VersionRule {
    notBlank(version, "version");
    inRange(share, 0, 1, "share");
    notNull(fallback, "fallback");
  }

  /** What to do when no target serves the side that was chosen for a call. */
  public enum Fallback {
    /** A call for the named version may go to the other versions instead. */
    OTHER_VERSIONS,
    /** Only the chosen side may serve the call. */
    NONE
  }
}
