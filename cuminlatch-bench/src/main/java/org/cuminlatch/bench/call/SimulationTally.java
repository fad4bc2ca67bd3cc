package org.cuminlatch.bench.call;

import java.time.Duration;
import java.time.Instant;
import org.HdrHistogram.Histogram;

/** What a simulation counts, from the end of its warm-up on. */
final class SimulationTally {

  private final Instant from;
  private final Histogram micros = new Histogram(3);
  private long calls;
  private long answered;
  private long notRun;
  private long unknown;
  private long executions;
  private long crossed;
  private long bytes;
  private long bytesCrossed;

  SimulationTally(Instant from) {
    this.from = from;
  }

  void called(Instant begun) {
    calls += counts(begun);
  }

  void answered(Instant begun, Instant now) {
    if (counts(begun) > 0) {
      answered++;
      micros.recordValue(Duration.between(begun, now).toNanos() / 1000);
    }
  }

  void notRun(Instant begun) {
    notRun += counts(begun);
  }

  void unknown(Instant begun) {
    unknown += counts(begun);
  }

  void executed(Instant begun) {
    executions += counts(begun);
  }

  void moved(Instant begun, int count, boolean acrossRegions) {
    if (counts(begun) > 0) {
      bytes += count;
      bytesCrossed += acrossRegions ? count : 0;
      crossed += acrossRegions ? 1 : 0;
    }
  }

  private int counts(Instant begun) {
    return begun.isBefore(from) ? 0 : 1;
  }

  long calls() {
    return calls;
  }

  long callsAnswered() {
    return answered;
  }

  long callsNotRun() {
    return notRun;
  }

  long callsUnknown() {
    return unknown;
  }

  long executions() {
    return executions;
  }

  double shareOfCallsCrossed() {
    return answered == 0 ? 0 : (double) crossed / answered;
  }

  double shareOfBytesCrossed() {
    return bytes == 0 ? 0 : (double) bytesCrossed / bytes;
  }

  long bytesCrossed() {
    return bytesCrossed;
  }

  double millis(double percentile) {
    return micros.getValueAtPercentile(percentile) / 1e3;
  }
}
