package org.cuminlatch.bench.process;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Callable;

/**
 * Polls a condition until it holds or a timeout expires. The condition must not be an assertion.
 */
public final class Eventually {

  private static final long POLL_INTERVAL_MILLIS = 100;

  private Eventually() {}

  /**
   * Waits until a condition holds.
   *
   * @param description description of the condition, for the error message
   * @param timeout longest time to wait
   * @param condition checked once per poll
   * @return time until the condition held
   * @throws AssertionError if the condition does not hold within the timeout
   * @throws Exception if the check itself fails
   */
  public static Duration await(String description, Duration timeout, Callable<Boolean> condition)
      throws Exception {
    Instant start = Instant.now();
    while (!condition.call()) {
      if (Duration.between(start, Instant.now()).compareTo(timeout) > 0) {
        throw new AssertionError("condition not met within " + timeout + ": " + description);
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
    return Duration.between(start, Instant.now());
  }
}
