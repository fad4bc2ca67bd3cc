package org.cuminlatch.core.target;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNegative;

/**
 * Record that a target has stopped accepting requests; it survives a restart of the target's node.
 *
 * @param instance name of the target's instance
 * @param bornMillis start time of the target in milliseconds since 1970; 0 if not known
 */
public record TargetExit(String instance, long bornMillis) {

  /** Validates the components. */
  public TargetExit {
    notBlank(instance, "instance");
    notNegative(bornMillis, "bornMillis");
  }
}
