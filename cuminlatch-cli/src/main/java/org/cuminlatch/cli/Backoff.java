package org.cuminlatch.cli;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.retry.ExponentialBackoff;

/**
 * Exponential backoff with full jitter: a wait is drawn between nothing and a bound that doubles,
 * so that a crowd of tools does not return at one moment.
 */
final class Backoff {

  private static final ExponentialBackoff WAIT =
      new ExponentialBackoff(Duration.ofMillis(200), Duration.ofSeconds(5));

  private final RandomGenerator random;
  private final Pause pause;

  Backoff(RandomGenerator random, Pause pause) {
    this.random = random;
    this.pause = pause;
  }

  /**
   * Waits before an attempt.
   *
   * @param attempt number of the attempt; the first is 0 and needs no wait
   */
  void before(int attempt) {
    if (attempt == 0) {
      return;
    }
    long bound = WAIT.maxDelayAfter(attempt - 1).toMillis();
    pause.sleep(Duration.ofMillis(random.nextLong(bound + 1)));
  }
}
