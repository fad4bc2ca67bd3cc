package org.cuminlatch.bench.demo;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.List;

/**
 * Values that the {@code bin/demo} script measures during a run.
 *
 * @param goodOutcome outcome of the move to the good version
 * @param badOutcome outcome of the move to the bad version
 * @param badCallsAtOutcome requests that the bad version executed before its move ended
 * @param badCallsLater requests that the bad version executed before the end of the load
 * @param runsAfterDrain requests that the drained target executed until 3 s after the drain began
 * @param runsAtEnd requests that the drained target executed before the end of the load
 * @param controlBytes control bytes that a node sent and received, one entry per node that was read
 * @param controlCpuMicros CPU time of a node's control thread in microseconds, one entry per node
 * @param residentKilobytes resident memory of a node's process in KiB, one entry per node
 * @param seconds duration of the demo
 */
record DemoMeasurements(
    String goodOutcome,
    String badOutcome,
    long badCallsAtOutcome,
    long badCallsLater,
    long runsAfterDrain,
    long runsAtEnd,
    List<Long> controlBytes,
    List<Long> controlCpuMicros,
    List<Long> residentKilobytes,
    long seconds) {

  private static final double MICROS_PER_SECOND = 1_000_000;
  private static final double KIBIBYTES_PER_MEBIBYTE = 1_024;

  DemoMeasurements {
    notNull(goodOutcome, "goodOutcome");
    notNull(badOutcome, "badOutcome");
    controlBytes = List.copyOf(notNull(controlBytes, "controlBytes"));
    controlCpuMicros = List.copyOf(notNull(controlCpuMicros, "controlCpuMicros"));
    residentKilobytes = List.copyOf(notNull(residentKilobytes, "residentKilobytes"));
  }

  boolean goodIsDone() {
    return goodOutcome.equals("DONE");
  }

  boolean badIsRolledBack() {
    return badOutcome.equals("ROLLED_BACK");
  }

  String outcomes() {
    return "good " + goodOutcome + ", bad " + badOutcome;
  }

  double controlBytesPerSecond() {
    return perSecond(controlBytes);
  }

  /** Returns the mean share of one core that a control thread uses, from 0 to 1. */
  double controlCpuShare() {
    return perSecond(controlCpuMicros) / MICROS_PER_SECOND;
  }

  double maxResidentMebibytes() {
    long max = residentKilobytes.stream().mapToLong(Long::longValue).max().orElse(0);
    return max / KIBIBYTES_PER_MEBIBYTE;
  }

  private double perSecond(List<Long> totals) {
    double mean = totals.stream().mapToLong(Long::longValue).average().orElse(0);
    return seconds == 0 ? 0 : mean / seconds;
  }
}
