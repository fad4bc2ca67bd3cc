package org.cuminlatch.core.target;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNegative;

/**
 * The fact that a target leaves; it outlives the node that took it.
 *
 * @param instance name of the target
 * @param bornMillis start of the target in milliseconds since 1970, 0 if not known
 */
public record TargetExit(String instance, long bornMillis) {

  /** Checks the fields. */
  public TargetExit {
    notBlank(instance, "instance");
    notNegative(bornMillis, "bornMillis");
  }
}
