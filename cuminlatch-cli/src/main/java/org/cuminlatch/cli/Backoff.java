package org.cuminlatch.cli;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.retry.ExponentialBackoff;

/**
 * Exponential backoff with full jitter: each delay is random between zero and a bound that doubles,
 * so that many instances of the tool do not retry at the same moment.
 */
final class Backoff {

  private static final ExponentialBackoff DELAY_BOUND =
      new ExponentialBackoff(Duration.ofMillis(200), Duration.ofSeconds(5));

  private final RandomGenerator random;
  private final Sleeper sleeper;

  Backoff(RandomGenerator random, Sleeper sleeper) {
    this.random = random;
    this.sleeper = sleeper;
  }

  /**
   * Sleeps for a random delay before an attempt.
   *
   * @param attempt number of the attempt; the first is 0 and is not delayed
   */
  void sleepBefore(int attempt) {
    if (attempt == 0) {
      return;
    }
    long boundMillis = DELAY_BOUND.maxDelayAfter(attempt - 1).toMillis();
    sleeper.sleep(Duration.ofMillis(random.nextLong(boundMillis + 1)));
  }
}
