package org.cuminlatch.node.event;

import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the number of log lines that a process writes per second.
 *
 * <p>The number of lines about requests grows with the load. Lines about the state of the process
 * explain them and therefore have a separate limit, which request lines cannot exhaust.
 * Thread-safe.
 */
final class LogRateLimiter {

  /** Maximum number of lines about requests per second. */
  static final int MAX_REQUEST_LINES_PER_SECOND = 40;

  /**
   * Maximum number of lines about the state of the process per second; sufficient for a change of
   * all targets of a medium-sized mesh at once.
   */
  static final int MAX_STATE_LINES_PER_SECOND = 40;

  private final AtomicLong dropped = new AtomicLong();
  private long currentSecond;
  private int requestLines;
  private int stateLines;

  /** Returns whether one more line may be written now; counts the line as dropped if not. */
  synchronized boolean tryAcquire(boolean forRequest, Instant now) {
    if (now.getEpochSecond() != currentSecond) {
      currentSecond = now.getEpochSecond();
      requestLines = 0;
      stateLines = 0;
    }
    boolean permitted =
        forRequest
            ? ++requestLines <= MAX_REQUEST_LINES_PER_SECOND
            : ++stateLines <= MAX_STATE_LINES_PER_SECOND;
    if (!permitted) {
      countDropped();
    }
    return permitted;
  }

  /** Counts a line that was dropped for another reason. */
  void countDropped() {
    dropped.incrementAndGet();
  }

  /** Returns the number of lines dropped since the last call. */
  long getAndResetDropped() {
    return dropped.getAndSet(0);
  }
}
