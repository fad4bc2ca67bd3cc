package org.cuminlatch.node.mesh;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.retry.ExponentialBackoff;

/** Time before the next try: doubles with each failure, and half of it is drawn at random. */
final class RetryDelay {

  private RetryDelay() {}

  static Duration after(int failures, Duration first, Duration longest, RandomGenerator random) {
    long half = new ExponentialBackoff(first, longest).maxDelayAfter(failures).toNanos() / 2;
    return Duration.ofNanos(half + random.nextLong(half + 1));
  }
}
