package org.cuminlatch.core.retry;

import static org.cuminlatch.core.Preconditions.inRange;

/**
 * Tokens that limit retries to a share of first attempts.
 *
 * <p>Each first attempt adds the share, each retry takes a whole token. Safe for use by many
 * threads. The source of the idea is the retry budget of Finagle; a small reserve lets a quiet
 * route retry.
 */
public final class RetryBudget {

  /** Tokens at the start: retries that a route may make before it has earned any. */
  public static final double RESERVE = 3;

  /** Most tokens that can be saved. */
  public static final double MAX_TOKENS = 20;

  private final double mostTokens;
  private double tokens;

  /** Creates a budget with the usual reserve. */
  public RetryBudget() {
    this(RESERVE, MAX_TOKENS);
  }

  /**
   * Creates a budget.
   *
   * @param reserve tokens at the start
   * @param mostTokens most tokens that can be saved
   */
  public RetryBudget(double reserve, double mostTokens) {
    this.tokens = inRange(reserve, 0, mostTokens, "reserve");
    this.mostTokens = mostTokens;
  }

  /**
   * Adds what a call earns with its first attempt; a call that descends from a retry earns nothing.
   *
   * <p>Otherwise retries near the root of a call tree would earn further ones at each level below,
   * and executions would grow with the power of the depth.
   *
   * @param tree place of the call
   * @param share retries allowed as a share of first attempts, from 0 to 1
   */
  public synchronized void earn(CallTree tree, double share) {
    inRange(share, 0, 1, "share");
    if (!tree.retried()) {
      tokens = Math.min(mostTokens, tokens + share);
    }
  }

  /**
   * Takes a token for a retry.
   *
   * @return whether there was one
   */
  public synchronized boolean tryRetry() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
