package org.cuminlatch.core.move;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import org.cuminlatch.core.move.EvidenceRow.Side;

/**
 * Estimates how many slots a service's calls keep busy, by Little's law: arrivals per second times
 * mean latency. The highest of the latest windows counts.
 */
final class SlotDemandEstimator {

  private static final Duration WINDOW = Duration.ofSeconds(10);
  private static final int WINDOWS = 6;

  private final Deque<Double> busySlots = new ArrayDeque<>();
  private Instant windowStart;
  private double busyMillisAtStart;

  void look(Evidence evidence, Instant now) {
    double busyMillis = busyMillis(evidence);
    if (windowStart == null) {
      windowStart = now;
      busyMillisAtStart = busyMillis;
      return;
    }
    double passed = Duration.between(windowStart, now).toMillis();
    if (passed < WINDOW.toMillis()) {
      return;
    }
    busySlots.addLast(Math.max(0, busyMillis - busyMillisAtStart) / passed);
    if (busySlots.size() > WINDOWS) {
      busySlots.removeFirst();
    }
    windowStart = now;
    busyMillisAtStart = busyMillis;
  }

  /** Returns the number of busy slots, 0 if nothing has been seen yet. */
  double slots() {
    return busySlots.stream().mapToDouble(Double::doubleValue).max().orElse(0);
  }

  private static double busyMillis(Evidence evidence) {
    double sum = 0;
    for (Side side : Side.values()) {
      Counts counts = evidence.total(side);
      for (int bucket = 0; bucket < counts.latencies().size(); bucket++) {
        sum += counts.latency(bucket) * LatencyBuckets.upperBoundMillis(bucket);
      }
    }
    return sum;
  }
}
