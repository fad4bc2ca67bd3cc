package org.cuminlatch.core.retry;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import org.cuminlatch.core.config.CallLimits;

/** Rule by which a request may be tried again after an attempt. */
public final class RetryPolicy {

  /** Least time that must be left for another attempt. */
  public static final Duration LEAST_TIME_LEFT = Duration.ofMillis(5);

  private RetryPolicy() {}

  /**
   * Decides whether a request may be sent on.
   *
   * <p>After a proven {@link AttemptOutcome#NOT_RUN} any request may be; after {@link
   * AttemptOutcome#UNKNOWN} only an idempotent one. Both take a token of the budget, but for a
   * request that was not run for a reason other than load. A call whose ancestor in the call tree
   * repeats an earlier attempt neither earns nor takes a token: with budget share r at each of d
   * levels the executions per call stay below 1 + r * d instead of (1 + r) to the power of d.
   *
   * @param ended the attempt that ended
   * @param limits limits of the route
   * @param budget budget of the route on this node
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
    if (ended.timeLeft().compareTo(LEAST_TIME_LEFT) < 0) {
      return Decision.NO_TIME_LEFT;
    }
    if (ended.outcome() == AttemptOutcome.NOT_RUN && !ended.overloaded()) {
      return Decision.RETRY;
    }
    if (ended.tree().retried()) {
      return Decision.RETRIED_ABOVE;
    }
    return budget.tryRetry() ? Decision.RETRY : Decision.BUDGET_SPENT;
  }

  /**
   * An attempt that has ended.
   *
   * @param outcome what is known of it
   * @param overloaded whether it was not run because of load
   * @param number its number, from 1
   * @param idempotent whether the request may be repeated
   * @param replayable whether the body of the request is still at hand
   * @param timeLeft time until the deadline of the call
   * @param tree place of the call
   */
  public record EndedAttempt(
      AttemptOutcome outcome,
      boolean overloaded,
      int number,
      boolean idempotent,
      boolean replayable,
      Duration timeLeft,
      CallTree tree) {

    /** Checks the fields. */
    public EndedAttempt {
      notNull(outcome, "outcome");
      notNull(timeLeft, "timeLeft");
      notNull(tree, "tree");
    }
  }

  /** Decisions, each with its reason. */
  public enum Decision {
    /** The request is tried again. */
    RETRY,
    /** The target answered. */
    ANSWERED,
    /** Part of the body is gone. */
    NOT_REPLAYABLE,
    /** The request may have run and must not run twice. */
    NOT_IDEMPOTENT,
    /** The route allows no more attempts. */
    ATTEMPTS_SPENT,
    /** The deadline is too near. */
    NO_TIME_LEFT,
    /** The call descends from a retry. */
    RETRIED_ABOVE,
    /** The budget of the route is spent. */
    BUDGET_SPENT
  }
}
