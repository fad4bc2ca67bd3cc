package org.cuminlatch.bench.move;

/** What goes wrong round a simulated move. */
enum Condition {
  /** Nothing. */
  CALM,
  /** The platform's log takes no record until after the deadline. */
  LOG_DOWN,
  /** The regions are cut apart for the middle half of the move. */
  REGION_CUT,
  /** The regions are cut apart from before the move until after the deadline. */
  REGION_CUT_THROUGHOUT,
  /** Half of the nodes restart at once within the move, and the log is down throughout. */
  HALF_RESTARTED
}
