package org.cuminlatch.bench.call;

import org.cuminlatch.bench.call.CallSimulation.PolicyFactory;

/** The call policies that the simulations compare. */
final class Policies {

  /** Routing, admission and retries of the core module. */
  static final PolicyFactory MESH = MeshPolicy::new;

  /** Random targets, no admission control, up to three retries after a timeout. */
  static final PolicyFactory RANDOM_RETRY =
      (time, random, fleet, targets, self, counters) ->
          new RandomRetryPolicy(time, random, fleet, targets, counters);

  private Policies() {}
}
