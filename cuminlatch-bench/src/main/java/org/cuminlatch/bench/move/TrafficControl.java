package org.cuminlatch.bench.move;

import java.time.Instant;
import java.util.Optional;
import org.cuminlatch.core.config.MoveOutcome;
import org.cuminlatch.core.move.CallOutcome;

/** A way to carry a move: the mesh itself, or a baseline. */
interface TrafficControl {

  /** Returns the number of nodes at which callers enter. */
  int nodes();

  /** Returns whether callers can enter at a node now. */
  boolean isUp(int node);

  /** Returns the share of the new version at a node. */
  double newShare(int node);

  /** Takes the outcome of a call that entered at a node. */
  void observed(int node, CallOutcome outcome);

  /** Lets time pass. */
  void tick(Instant now);

  /** Returns the outcome that stands, if one is stated. */
  Optional<MoveOutcome> outcome();

  /** Returns the bytes of evidence sent so far by all nodes. */
  long bytes();
}
