package org.cuminlatch.node.mesh;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Time before the next try: doubles with each failure, and half of it is drawn at random. */
final class RetryDelay {

  private static final int MOST_DOUBLINGS = 6;

  private RetryDelay() {}

  static Duration after(int failures, Duration first, Duration longest, RandomGenerator random) {
    Duration doubled = first.multipliedBy(1L << Math.min(failures, MOST_DOUBLINGS));
    Duration bound = doubled.compareTo(longest) < 0 ? doubled : longest;
    long half = bound.toNanos() / 2;
    return Duration.ofNanos(half + random.nextLong(half + 1));
  }
}
