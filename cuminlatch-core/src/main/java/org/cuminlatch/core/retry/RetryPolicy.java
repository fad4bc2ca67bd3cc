package org.cuminlatch.core.retry;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import org.cuminlatch.core.config.CallLimits;

/** Decides whether a request is retried after an attempt has ended. */
public final class RetryPolicy {

  /** Minimum time until the deadline that is required for another attempt. */
  public static final Duration MIN_TIME_LEFT = Duration.ofMillis(5);

  private RetryPolicy() {}

  /**
   * Decides whether a request is retried.
   *
   * <p>After {@link AttemptOutcome#NOT_RUN} any request may be retried, after {@link
   * AttemptOutcome#UNKNOWN} only an idempotent one. A retry withdraws a token from the budget,
   * except after a request that was not run for a reason other than load. A call that descends from
   * a retry neither deposits nor withdraws tokens: with a budget share of r at each of d levels,
   * the executions per call stay below 1 + r * d instead of (1 + r) to the power of d.
   *
   * @param ended the attempt that ended
   * @param limits limits of the route
   * @param budget retry budget of the route on this node
   * @return the decision
   */
  public static Decision decide(EndedAttempt ended, CallLimits limits, RetryBudget budget) {
    notNull(ended, "ended");
    if (ended.outcome() == AttemptOutcome.ANSWERED) {
      return Decision.ANSWERED;
    }
    if (!ended.replayable()) {
      return Decision.NOT_REPLAYABLE;
    }
    if (ended.outcome() == AttemptOutcome.UNKNOWN && !ended.idempotent()) {
      return Decision.NOT_IDEMPOTENT;
    }
    if (ended.number() >= limits.maxAttempts()) {
      return Decision.ATTEMPTS_SPENT;
    }
    if (ended.timeLeft().compareTo(MIN_TIME_LEFT) < 0) {
      return Decision.NO_TIME_LEFT;
    }
    if (ended.outcome() == AttemptOutcome.NOT_RUN && !ended.overloaded()) {
      return Decision.RETRY;
    }
    if (ended.position().retried()) {
      return Decision.RETRIED_ABOVE;
    }
    return budget.tryWithdraw() ? Decision.RETRY : Decision.BUDGET_SPENT;
  }

  /**
   * An attempt that has ended.
   *
   * @param outcome outcome of the attempt
   * @param overloaded whether the request was not run because of load
   * @param number number of the attempt, starting at 1
   * @param idempotent whether the request is idempotent
   * @param replayable whether the body of the request is still available in full
   * @param timeLeft time until the deadline of the call
   * @param position position of the call in its call tree
   */
  public record EndedAttempt(
      AttemptOutcome outcome,
      boolean overloaded,
      int number,
      boolean idempotent,
      boolean replayable,
      Duration timeLeft,
      CallTreePosition position) {

    /** Validates the components. */
    public EndedAttempt {
      notNull(outcome, "outcome");
      notNull(timeLeft, "timeLeft");
      notNull(position, "position");
    }
  }

  /** Decision to retry, or the reason not to. */
  public enum Decision {
    /** The request is retried. */
    RETRY,
    /** The target answered. */
    ANSWERED,
    /** Part of the request's body is no longer available. */
    NOT_REPLAYABLE,
    /** The request may have run and is not idempotent. */
    NOT_IDEMPOTENT,
    /** The route's maximum number of attempts is reached. */
    ATTEMPTS_SPENT,
    /** Too little time is left until the deadline. */
    NO_TIME_LEFT,
    /** The call descends from a retry. */
    RETRIED_ABOVE,
    /** The retry budget of the route has no token left. */
    BUDGET_SPENT
  }
}
