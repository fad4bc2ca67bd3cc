package org.cuminlatch.core.admission;

import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.util.Optional;

/**
 * Refuses calls while the node has too little processor time to accept them in time.
 *
 * <p>A node that has just started, or whose machine is slowed down, receives calls faster than it
 * can accept them. A call that is accepted late reaches its target late and delays all calls behind
 * it; refusing it costs a small part of that time. Calls of low priority are refused first.
 */
public final class LagLimit {

  /** Lag above which calls of low priority are refused. */
  static final Duration LOW_PRIORITY_MAX_LAG = Duration.ofMillis(200);

  /** Lag above which all calls are refused. */
  static final Duration MAX_LAG = Duration.ofMillis(500);

  /** Calls with this priority value or a greater one have low priority. */
  static final int FIRST_LOW_PRIORITY = 2;

  private LagLimit() {}

  /**
   * Returns whether the node refuses any calls at a given lag.
   *
   * @param lag estimated time that a call has waited for the node
   * @return true if at least the calls of low priority are refused
   */
  public static boolean isBehind(Duration lag) {
    return notNull(lag, "lag").compareTo(LOW_PRIORITY_MAX_LAG) > 0;
  }

  /**
   * Returns the time after which a refused call may be retried.
   *
   * @param priority priority of the call's route; 0 is the highest
   * @param lag estimated time that the call has waited for the node
   * @return time after which the caller may retry; empty if the call is accepted
   */
  public static Optional<Duration> retryAfter(int priority, Duration lag) {
    notNegative(priority, "priority");
    notNull(lag, "lag");
    Duration limit = priority >= FIRST_LOW_PRIORITY ? LOW_PRIORITY_MAX_LAG : MAX_LAG;
    return lag.compareTo(limit) > 0 ? Optional.of(lag) : Optional.empty();
  }
}
