package org.cuminlatch.core.move;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import org.cuminlatch.core.move.EvidenceRow.Side;

/**
 * Estimates how many slots a service's calls keep busy, by Little's law: arrivals per second times
 * mean latency. The estimate is the highest value of the latest time windows.
 */
final class SlotDemandEstimator {

  private static final Duration WINDOW_LENGTH = Duration.ofSeconds(10);
  private static final int MAX_WINDOWS = 6;

  private final Deque<Double> busySlotsByWindow = new ArrayDeque<>();
  private Instant windowStart;
  private double busyMillisAtStart;

  /** Takes the cumulative evidence; closes the current window once it is long enough. */
  void update(Evidence evidence, Instant now) {
    double busyMillis = busyMillis(evidence);
    if (windowStart == null) {
      windowStart = now;
      busyMillisAtStart = busyMillis;
      return;
    }
    double elapsedMillis = Duration.between(windowStart, now).toMillis();
    if (elapsedMillis < WINDOW_LENGTH.toMillis()) {
      return;
    }
    busySlotsByWindow.addLast(Math.max(0, busyMillis - busyMillisAtStart) / elapsedMillis);
    if (busySlotsByWindow.size() > MAX_WINDOWS) {
      busySlotsByWindow.removeFirst();
    }
    windowStart = now;
    busyMillisAtStart = busyMillis;
  }

  /** Returns the estimated number of busy slots, 0 before the end of the first window. */
  double busySlots() {
    return busySlotsByWindow.stream().mapToDouble(Double::doubleValue).max().orElse(0);
  }

  private static double busyMillis(Evidence evidence) {
    double sum = 0;
    for (Side side : Side.values()) {
      CallCounts counts = evidence.total(side);
      for (int bucket = 0; bucket < counts.latencies().size(); bucket++) {
        sum += counts.callsInBucket(bucket) * LatencyBuckets.upperBoundMillis(bucket);
      }
    }
    return sum;
  }
}
