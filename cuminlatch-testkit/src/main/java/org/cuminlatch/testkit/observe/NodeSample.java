package org.cuminlatch.testkit.observe;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;

/**
 * What one node said of itself at one moment.
 *
 * @param instance name of the instance
 * @param at time since the observer began
 * @param ready whether the node serves
 * @param configVersion configuration version in force
 * @param stateHash hash of that configuration
 * @param danglingRoutes routes in force whose service the node does not hold
 */
public record NodeSample(
    String instance,
    Duration at,
    boolean ready,
    long configVersion,
    String stateHash,
    int danglingRoutes) {

  /** Checks the fields. */
  public NodeSample {
    notBlank(instance, "instance");
    notNull(at, "at");
    notNull(stateHash, "stateHash");
  }
}
