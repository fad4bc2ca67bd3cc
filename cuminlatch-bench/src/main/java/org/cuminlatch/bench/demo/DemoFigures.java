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
    long seconds) {

  DemoFigures {
    notNull(goodOutcome, "goodOutcome");
    notNull(badOutcome, "badOutcome");
    controlBytes = List.copyOf(notNull(controlBytes, "controlBytes"));
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
    double mean = controlBytes.stream().mapToLong(Long::longValue).average().orElse(0);
    return seconds == 0 ? 0 : mean / seconds;
  }
}
