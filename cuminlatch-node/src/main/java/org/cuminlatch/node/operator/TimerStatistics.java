package org.cuminlatch.node.operator;

import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

/**
 * Statistics of a timer as shown on the metrics page.
 *
 * @param count number of events since the start
 * @param p50Micros median in microseconds
 * @param p99Micros 99th percentile in microseconds
 * @param maxMicros largest value in microseconds
 */
record TimerStatistics(long count, double p50Micros, double p99Micros, double maxMicros) {

  private static final double NANOS_PER_MICRO = 1_000;

  static TimerStatistics of(Timer timer) {
    Snapshot values = timer.getSnapshot();
    return new TimerStatistics(
        timer.getCount(),
        values.getMedian() / NANOS_PER_MICRO,
        values.get99thPercentile() / NANOS_PER_MICRO,
        values.getMax() / NANOS_PER_MICRO);
  }
}
