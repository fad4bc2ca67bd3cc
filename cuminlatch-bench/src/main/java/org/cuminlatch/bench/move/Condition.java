package org.cuminlatch.bench.move;

/** Fault that is injected into the environment of a simulated move. */
enum Condition {
  /** No fault. */
  CALM,
  /** The platform's log accepts no records until after the deadline. */
  LOG_DOWN,
  /** The regions are partitioned during the middle half of the move. */
  REGION_CUT,
  /** The regions are partitioned from before the move until after the deadline. */
  REGION_CUT_THROUGHOUT,
  /** Half of the nodes restart at the same time during the move, and the log is down throughout. */
  HALF_RESTARTED
}
