package org.cuminlatch.testkit.observe;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;

/**
 * Configuration state that a node reported at one moment.
 *
 * @param instance name of the instance
 * @param at time since the start of the observer
 * @param ready whether the node is ready to serve requests
 * @param configVersion configuration version in force
 * @param stateHash state hash of that configuration
 * @param danglingRoutes number of routes in force whose service the node does not have
 */
public record NodeSample(
    String instance,
    Duration at,
    boolean ready,
    long configVersion,
    String stateHash,
    int danglingRoutes) {

  /** Validates the components. */
  public NodeSample {
    notBlank(instance, "instance");
    notNull(at, "at");
    notNull(stateHash, "stateHash");
  }
}
