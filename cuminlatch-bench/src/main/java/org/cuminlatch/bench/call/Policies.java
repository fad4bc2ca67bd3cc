package org.cuminlatch.bench.call;

import org.cuminlatch.bench.call.CallSimulation.PolicyFactory;

/** The policies that the simulations compare. */
final class Policies {

  /** The decisions of the core. */
  static final PolicyFactory MESH = MeshPolicy::new;

  /** Random choice, no admission control, three blind retries. */
  static final PolicyFactory BLIND =
      (time, random, fleet, targets, self, tally) ->
          new BlindPolicy(time, random, fleet, targets, tally);

  private Policies() {}
}
