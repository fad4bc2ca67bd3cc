package org.cuminlatch.core.retry;

import static org.cuminlatch.core.Preconditions.inRange;

/**
 * Token bucket that limits retries to a share of the first attempts.
 *
 * <p>Each first attempt deposits the share, each retry withdraws a whole token. A small number of
 * initial tokens allows retries on a route with few calls. Modeled on the retry budget of Finagle.
 * Thread-safe.
 */
public final class RetryBudget {

  /** Default number of initial tokens, which allow retries before the first deposits. */
  public static final double INITIAL_TOKENS = 3;

  /** Default maximum number of tokens. */
  public static final double MAX_TOKENS = 20;

  private final double maxTokens;
  private double tokens;

  /** Creates a budget with the default numbers of tokens. */
  public RetryBudget() {
    this(INITIAL_TOKENS, MAX_TOKENS);
  }

  /**
   * Creates a budget.
   *
   * @param initialTokens number of initial tokens; from 0 to the maximum
   * @param maxTokens maximum number of tokens
   */
  public RetryBudget(double initialTokens, double maxTokens) {
    this.tokens = inRange(initialTokens, 0, maxTokens, "initialTokens");
    this.maxTokens = maxTokens;
  }

  /**
   * Deposits the share of a call's first attempt, unless the call descends from a retry.
   *
   * <p>If descendants of retries made deposits too, a retry near the root of a call tree would
   * permit further retries at each level below, and executions would grow exponentially with the
   * depth.
   *
   * @param position position of the call in its call tree
   * @param share allowed number of retries as a share of first attempts, from 0 to 1
   */
  public synchronized void deposit(CallTreePosition position, double share) {
    inRange(share, 0, 1, "share");
    if (!position.retried()) {
      tokens = Math.min(maxTokens, tokens + share);
    }
  }

  /**
   * Withdraws a token for a retry if there is one.
   *
   * @return true if the retry is allowed
   */
  public synchronized boolean tryWithdraw() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
