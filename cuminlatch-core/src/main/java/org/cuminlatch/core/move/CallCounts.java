package org.cuminlatch.core.move;

import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.ArrayList;
import java.util.List;

/**
 * Cumulative counts of calls to one target version. No number ever decreases.
 *
 * @param calls calls to warm targets that are evidence about the version
 * @param failures failed calls to warm targets
 * @param coldCalls calls to targets within their cold start
 * @param coldFailures failed calls to targets within their cold start
 * @param latencies successful calls to warm targets per {@link LatencyBuckets bucket}, trailing
 *     zeros left out
 */
public record CallCounts(
    long calls, long failures, long coldCalls, long coldFailures, List<Long> latencies) {

  /** Counts of no calls. */
  public static final CallCounts NONE = new CallCounts(0, 0, 0, 0, List.of());

  /** Validates the components and copies the latencies. */
  public CallCounts {
    notNegative(calls, "calls");
    notNegative(failures, "failures");
    notNegative(coldCalls, "coldCalls");
    notNegative(coldFailures, "coldFailures");
    latencies = List.copyOf(notNull(latencies, "latencies"));
    latencies.forEach(count -> notNegative(count, "latencies"));
  }

  /**
   * Returns the number of successful calls in a latency bucket.
   *
   * @param bucket index of the bucket
   * @return the number, 0 for a bucket beyond the last one stored
   */
  public long callsInBucket(int bucket) {
    return bucket < latencies.size() ? latencies.get(bucket) : 0;
  }

  /**
   * Returns the number of successful calls in a bucket and all slower ones.
   *
   * @param bucket index of the fastest bucket to count
   * @return the number
   */
  public long callsAtOrAbove(int bucket) {
    long sum = 0;
    for (int i = bucket; i < latencies.size(); i++) {
      sum += latencies.get(i);
    }
    return sum;
  }

  /**
   * Returns the number of calls whose latency was recorded.
   *
   * @return the sum over all buckets
   */
  public long timedCalls() {
    return callsAtOrAbove(0);
  }

  /**
   * Adds the counts of another source.
   *
   * @param other counts of a disjoint set of calls
   * @return the sums
   */
  public CallCounts plus(CallCounts other) {
    return combine(other, Long::sum);
  }

  /**
   * Joins two snapshots of the same cumulative counts.
   *
   * @param other another snapshot, older or newer
   * @return the element-wise maximum
   */
  public CallCounts join(CallCounts other) {
    return combine(other, Math::max);
  }

  /**
   * Returns the increase since an earlier snapshot.
   *
   * @param earlier the earlier snapshot
   * @return the differences, never below 0
   */
  public CallCounts since(CallCounts earlier) {
    return combine(earlier, (now, then) -> Math.max(0, now - then));
  }

  private CallCounts combine(CallCounts other, java.util.function.LongBinaryOperator operator) {
    int buckets = Math.max(latencies.size(), other.latencies.size());
    List<Long> combined = new ArrayList<>(buckets);
    for (int i = 0; i < buckets; i++) {
      combined.add(operator.applyAsLong(callsInBucket(i), other.callsInBucket(i)));
    }
    return new CallCounts(
        operator.applyAsLong(calls, other.calls),
        operator.applyAsLong(failures, other.failures),
        operator.applyAsLong(coldCalls, other.coldCalls),
        operator.applyAsLong(coldFailures, other.coldFailures),
        combined);
  }
}
