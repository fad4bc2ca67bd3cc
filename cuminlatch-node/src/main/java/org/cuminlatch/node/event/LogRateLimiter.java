package org.cuminlatch.node.event;

import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Lines that a process may write in a second.
 *
 * <p>Lines on requests grow with the load; those on what the process believes explain them, and
 * have a part that requests can't use up. Safe for use by many threads.
 */
final class LogRateLimiter {

  /** Most lines a second on requests. */
  static final int REQUEST_LINES = 40;

  /** Most lines a second on beliefs: a change of all targets of a mesh of some size at once. */
  static final int BELIEF_LINES = 40;

  private final AtomicLong dropped = new AtomicLong();
  private long second;
  private int requestLines;
  private int beliefLines;

  /** Takes one line out of the budget; false if it has to be dropped, which is counted. */
  synchronized boolean take(boolean onRequest, Instant now) {
    if (now.getEpochSecond() != second) {
      second = now.getEpochSecond();
      requestLines = 0;
      beliefLines = 0;
    }
    boolean kept = onRequest ? ++requestLines <= REQUEST_LINES : ++beliefLines <= BELIEF_LINES;
    if (!kept) {
      drop();
    }
    return kept;
  }

  /** Counts a line that was dropped elsewhere. */
  void drop() {
    dropped.incrementAndGet();
  }

  /** Returns the lines dropped since the last call. */
  long takeDropped() {
    return dropped.getAndSet(0);
  }
}
