package org.cuminlatch.node.operator;

import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

/**
 * Figures of a timer as the metrics page shows them.
 *
 * @param count events since the start
 * @param p50Micros median in microseconds
 * @param p99Micros 99th percentile in microseconds
 * @param maxMicros largest value in microseconds
 */
record TimerFigures(long count, double p50Micros, double p99Micros, double maxMicros) {

  private static final double NANOS_PER_MICRO = 1_000;

  static TimerFigures of(Timer timer) {
    Snapshot values = timer.getSnapshot();
    return new TimerFigures(
        timer.getCount(),
        values.getMedian() / NANOS_PER_MICRO,
        values.get99thPercentile() / NANOS_PER_MICRO,
        values.getMax() / NANOS_PER_MICRO);
  }
}
