package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.inRange;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.util.Set;

/**
 * Limits on the calls of a route.
 *
 * @param timeout maximum duration of a call, including all attempts
 * @param maxAttempts maximum number of attempts per call, including the first
 * @param retryBudget maximum number of retries as a fraction of first attempts, from 0 to 1
 * @param idempotentMethods HTTP methods whose requests may be retried
 * @param idempotenceHeader request header that marks a single request as idempotent when its value
 *     is {@code true}
 */
public record CallLimits(
    Duration timeout,
    int maxAttempts,
    double retryBudget,
    Set<String> idempotentMethods,
    String idempotenceHeader) {

  /** Maximum timeout that a route may set. */
  public static final Duration MAX_TIMEOUT = Duration.ofMinutes(10);

  private static final CallLimits DEFAULTS =
      new CallLimits(
          Duration.ofSeconds(10), 3, 0.1, Set.of("GET", "HEAD", "OPTIONS"), "x-idempotent");

  /** Validates the components and copies the methods. */
  public CallLimits {
    notNull(timeout, "timeout");
    check(
        timeout.compareTo(Duration.ZERO) > 0 && timeout.compareTo(MAX_TIMEOUT) <= 0,
        "timeout",
        "must be positive and at most " + MAX_TIMEOUT);
    check(maxAttempts >= 1 && maxAttempts <= 5, "maxAttempts", "must be between 1 and 5");
    inRange(retryBudget, 0, 1, "retryBudget");
    idempotentMethods = Set.copyOf(notNull(idempotentMethods, "idempotentMethods"));
    notNull(idempotenceHeader, "idempotenceHeader");
  }

  /**
   * Returns the limits of a route that sets none.
   *
   * @return the default limits
   */
  public static CallLimits defaults() {
    return DEFAULTS;
  }
}
