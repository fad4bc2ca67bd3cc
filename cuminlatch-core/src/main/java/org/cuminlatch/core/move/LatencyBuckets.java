package org.cuminlatch.core.move;

import java.time.Duration;

/** Latency buckets whose upper bounds grow by a factor of the square root of two. */
public final class LatencyBuckets {

  /** Number of buckets; the last one has no upper bound. */
  public static final int COUNT = 32;

  private static final double FIRST_UPPER_BOUND_NANOS = 500_000;
  private static final double LOG_GROWTH_FACTOR = Math.log(2) / 2;

  private LatencyBuckets() {}

  /**
   * Returns the index of the bucket that holds a latency.
   *
   * @param latency the latency
   * @return the index, from 0
   */
  public static int indexOf(Duration latency) {
    double ratio = latency.toNanos() / FIRST_UPPER_BOUND_NANOS;
    if (ratio <= 1) {
      return 0;
    }
    return Math.min(COUNT - 1, (int) Math.ceil(Math.log(ratio) / LOG_GROWTH_FACTOR));
  }

  /**
   * Returns the upper bound of a bucket.
   *
   * @param index index of the bucket
   * @return the bound in milliseconds
   */
  public static double upperBoundMillis(int index) {
    return FIRST_UPPER_BOUND_NANOS * Math.exp(index * LOG_GROWTH_FACTOR) / 1e6;
  }
}
