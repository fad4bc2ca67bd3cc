package org.cuminlatch.core.route;

import static org.cuminlatch.core.Preconditions.inRange;
import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

/**
 * How the calls of a service are divided between one target version and all others.
 *
 * @param version the version that the rule names
 * @param share part of the calls that goes to it
 * @param fallback what happens when the chosen side has no target
 */
public record VersionRule(String version, double share, Fallback fallback) {

  /** Checks the fields. */
  public VersionRule {
    notBlank(version, "version");
    inRange(share, 0, 1, "share");
    notNull(fallback, "fallback");
  }

  /** What happens when the chosen side has no target. */
  public enum Fallback {
    /** A call that was meant for the named version may go to the others. */
    TO_OTHERS,
    /** Only the chosen side may serve. */
    NONE
  }
}
