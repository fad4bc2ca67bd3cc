package org.cuminlatch.bench.demo;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.List;

/**
 * Figures that the demo's script reads while it runs.
 *
 * @param goodOutcome outcome of the move to the good version
 * @param badOutcome outcome of the move to the bad version
 * @param badCallsAtOutcome requests that the bad version ran until its move had ended
 * @param badCallsLater requests that it ran until the end of the load
 * @param runsAfterDrain requests that the drained target ran until 3 s after the drain began
 * @param runsAtEnd requests that it ran until the end
 * @param controlBytes control bytes in and out of a node, one entry per node read
 * @param controlCpuMicros processor time of a node's control thread in microseconds, one entry a
 *     node
 * @param residentKilobytes resident memory of a node's process in KB, one entry a node
 * @param seconds length of the demo
 */
record DemoFigures(
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
  private static final double KILOBYTES_PER_MEGABYTE = 1_024;

  DemoFigures {
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

  /** Returns the share of one core that a control thread takes, from 0 to 1. */
  double controlCpuShare() {
    return perSecond(controlCpuMicros) / MICROS_PER_SECOND;
  }

  double largestResidentMegabytes() {
    long largest = residentKilobytes.stream().mapToLong(Long::longValue).max().orElse(0);
    return largest / KILOBYTES_PER_MEGABYTE;
  }

  private double perSecond(List<Long> totals) {
    double mean = totals.stream().mapToLong(Long::longValue).average().orElse(0);
    return seconds == 0 ? 0 : mean / seconds;
  }
}
