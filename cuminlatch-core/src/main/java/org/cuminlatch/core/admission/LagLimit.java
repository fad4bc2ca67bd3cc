package org.cuminlatch.core.admission;

import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.util.Optional;

/**
 * Refuses calls while the node itself has too little processor time for them.
 *
 * <p>The load that it answers: a node that has just started, or whose machine is slowed, gets calls
 * faster than it can take them on. Each one that it takes on late is late at its target too, and
 * delays all behind it; to refuse one costs a small part of that. Low ranks are refused first.
 */
public final class LagLimit {

  /** Lag from which on calls of the lowest ranks are refused. */
  static final Duration LOW_RANKS = Duration.ofMillis(200);

  /** Lag from which on all calls are refused. */
  static final Duration ALL_RANKS = Duration.ofMillis(500);

  /** First of the ranks that are refused early. */
  static final int FIRST_LOW_RANK = 2;

  private LagLimit() {}

  /**
   * Returns whether some calls are refused.
   *
   * @param lag time that a call has probably waited for the node
   * @return true if those of the lowest ranks are
   */
  public static boolean isBehind(Duration lag) {
    return notNull(lag, "lag").compareTo(LOW_RANKS) > 0;
  }

  /**
   * Decides on a call.
   *
   * @param priority rank of its route, 0 is the highest
   * @param lag time that the call has probably waited for the node
   * @return time after which the caller may come back, empty if the call is taken on
   */
  public static Optional<Duration> refusal(int priority, Duration lag) {
    notNegative(priority, "priority");
    notNull(lag, "lag");
    Duration limit = priority >= FIRST_LOW_RANK ? LOW_RANKS : ALL_RANKS;
    return lag.compareTo(limit) > 0 ? Optional.of(lag) : Optional.empty();
  }
}
