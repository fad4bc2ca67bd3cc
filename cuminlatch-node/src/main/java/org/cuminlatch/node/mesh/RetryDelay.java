package org.cuminlatch.node.mesh;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.retry.ExponentialBackoff;

/** Exponential delay before a retry: it doubles with each failure, and half of it is random. */
final class RetryDelay {

  private RetryDelay() {}

  static Duration after(
      int failures, Duration firstDelay, Duration maxDelay, RandomGenerator random) {
    long half = new ExponentialBackoff(firstDelay, maxDelay).maxDelayAfter(failures).toNanos() / 2;
    return Duration.ofNanos(half + random.nextLong(half + 1));
  }
}
