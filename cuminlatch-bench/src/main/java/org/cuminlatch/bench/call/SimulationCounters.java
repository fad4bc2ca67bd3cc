package org.cuminlatch.bench.call;

import java.time.Duration;
import java.time.Instant;
import org.HdrHistogram.Histogram;

/** Counters of a simulation; calls that began during the warm-up are not counted. */
final class SimulationCounters {

  private final Instant countFrom;
  private final Histogram latencyMicros = new Histogram(3);
  private long calls;
  private long answered;
  private long notRun;
  private long unknown;
  private long executions;
  private long callsCrossed;
  private long bytes;
  private long bytesCrossed;

  SimulationCounters(Instant countFrom) {
    this.countFrom = countFrom;
  }

  void recordCall(Instant startedAt) {
    calls += countIfAfterWarmUp(startedAt);
  }

  void recordAnswered(Instant startedAt, Instant now) {
    if (countIfAfterWarmUp(startedAt) > 0) {
      answered++;
      latencyMicros.recordValue(Duration.between(startedAt, now).toNanos() / 1000);
    }
  }

  void recordNotRun(Instant startedAt) {
    notRun += countIfAfterWarmUp(startedAt);
  }

  void recordUnknown(Instant startedAt) {
    unknown += countIfAfterWarmUp(startedAt);
  }

  void recordExecution(Instant startedAt) {
    executions += countIfAfterWarmUp(startedAt);
  }

  void recordTransfer(Instant startedAt, int transferredBytes, boolean acrossRegions) {
    if (countIfAfterWarmUp(startedAt) > 0) {
      bytes += transferredBytes;
      bytesCrossed += acrossRegions ? transferredBytes : 0;
      callsCrossed += acrossRegions ? 1 : 0;
    }
  }

  private int countIfAfterWarmUp(Instant startedAt) {
    return startedAt.isBefore(countFrom) ? 0 : 1;
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
    return answered == 0 ? 0 : (double) callsCrossed / answered;
  }

  double shareOfBytesCrossed() {
    return bytes == 0 ? 0 : (double) bytesCrossed / bytes;
  }

  long bytesCrossed() {
    return bytesCrossed;
  }

  double millis(double percentile) {
    return latencyMicros.getValueAtPercentile(percentile) / 1e3;
  }
}
