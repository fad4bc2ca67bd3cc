package org.cuminlatch.bench.move;

import java.time.Instant;
import java.util.Optional;
import org.cuminlatch.core.config.MoveOutcome;
import org.cuminlatch.core.move.CallOutcome;

/** Strategy that controls the traffic of a move: the mesh itself or a baseline. */
interface MoveStrategy {

  /** Returns the number of nodes that accept callers. */
  int nodes();

  /** Returns whether a node currently accepts callers. */
  boolean isUp(int node);

  /** Returns the share of calls that a node sends to the new version, from 0 to 1. */
  double newVersionShare(int node);

  /** Records the outcome of a call that a node accepted. */
  void recordCall(int node, CallOutcome outcome);

  /** Advances the virtual time. */
  void tick(Instant now);

  /** Returns the outcome in force, if the move has ended. */
  Optional<MoveOutcome> outcome();

  /** Returns the bytes of evidence that all nodes have sent so far. */
  long evidenceBytes();
}
