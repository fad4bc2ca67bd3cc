package org.cuminlatch.core.admission;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;
import org.cuminlatch.core.target.ColdState;

/**
 * Limit on the requests that a target gets while it is cold.
 *
 * <p>The target may get one and a half times its rate and 8 more in any second, and crashes well
 * above the rate. The limit is the rate itself; the rest is left for requests that arrive at the
 * target closer together than they were sent. The first permit comes only some time after the
 * target has become cold, as a restarted node does not know what its target has just got. Not
 * thread-safe.
 */
public final class ColdRateLimit {

  private final PermitBucket bucket = new PermitBucket();
  private ColdState state = ColdState.UNLIMITED;
  private boolean known;

  /**
   * Sets whether the target is cold.
   *
   * @param newState the state, as far as the target's node knows
   * @param now current time
   */
  public void update(ColdState newState, Instant now) {
    refresh(now);
    state = notNull(newState, "newState");
    known = true;
    refresh(now);
  }

  /**
   * Counts the target as cold until the first {@link #update}: its node has not read the
   * configuration yet, in which an entry node has found a limit.
   *
   * @param perSecond rate of a cold target by the configuration of the entry node; 0 if it has none
   * @param now current time
   */
  public void assume(double perSecond, Instant now) {
    if (!known && perSecond > 0) {
      state = new ColdState(perSecond, Instant.MIN, Instant.MIN);
      refresh(now);
    }
  }

  /**
   * Returns whether the limit applies.
   *
   * @param now current time
   * @return true if the target counts as cold and its service has a limit
   */
  public boolean applies(Instant now) {
    return perSecond(now) != Double.POSITIVE_INFINITY;
  }

  /**
   * Returns the limit.
   *
   * @param now current time
   * @return requests per second; infinite if there is no limit
   */
  public double perSecond(Instant now) {
    refresh(now);
    return bucket.ratePerSecond();
  }

  boolean hasPermit(Instant now) {
    refresh(now);
    return bucket.hasPermit(now);
  }

  void take() {
    bucket.take();
  }

  Duration timeUntilPermitted(int requests, Instant now) {
    refresh(now);
    return bucket.timeUntilPermitted(requests, now);
  }

  /** Applies the start and end of cold periods that have passed since the last call. */
  private void refresh(Instant now) {
    double rate = state.isCold(now) ? state.perSecond() : Double.POSITIVE_INFINITY;
    if (rate != bucket.ratePerSecond()) {
      bucket.setRate(rate, now);
    }
  }
}
