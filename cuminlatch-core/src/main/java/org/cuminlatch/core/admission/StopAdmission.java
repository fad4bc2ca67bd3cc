package org.cuminlatch.core.admission;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides which requests a node still accepts during a planned stop, so that none is cut off at its
 * end.
 *
 * <p>Callers keep sending until they have seen that the node is not ready. Up to then, and under
 * the usual load, their requests end long before the node does, and refusing them would only turn
 * them away. After that, the node accepts a request only if it ends before the node does even if it
 * takes all the time that its caller allows. Other nodes are told of the stop at once and can send
 * their requests to other targets, so that theirs have to meet this condition from the start.
 *
 * @param announcedAt time at which the stop was announced
 * @param end time at which the node stops, whatever is in progress
 */
public record StopAdmission(Instant announcedAt, Instant end) {

  /** Time that callers need to see that the node is not ready: two checks a second apart. */
  static final Duration NOTICE_PERIOD = Duration.ofSeconds(3);

  /** Validates the components. */
  public StopAdmission {
    notNull(announcedAt, "announcedAt");
    notNull(end, "end");
    check(!end.isBefore(announcedAt), "end", "must not be before announcedAt");
  }

  /**
   * Returns whether a caller's request is accepted.
   *
   * @param deadline time up to which its caller waits
   * @param now current time
   * @return true if it may be passed on
   */
  public boolean admitsCall(Instant deadline, Instant now) {
    return now.isBefore(announcedAt.plus(NOTICE_PERIOD)) || endsInTime(deadline);
  }

  /**
   * Returns whether an attempt of another node is accepted.
   *
   * @param deadline time up to which its caller waits
   * @return true if it may be passed on to the target
   */
  public boolean admitsAttempt(Instant deadline) {
    return endsInTime(deadline);
  }

  private boolean endsInTime(Instant deadline) {
    return !deadline.isAfter(end);
  }
}
