package org.cuminlatch.bench.move;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Statistics over the simulated moves of one table row. */
record MoveStatistics(String kind, String scenario, boolean bad, List<MoveResult> results) {

  /**
   * Columns of the table. "Shown" is the time at which enough calls were faulty to show that the
   * version is bad, "proved" the time at which an evaluation of all calls could prove it, and
   * "none" the time of the last call to the new version.
   */
  static final List<String> COLUMNS =
      List.of(
          "version",
          "control",
          "moves",
          "done in time %",
          "done",
          "rolled back",
          "no outcome",
          "shown",
          "rolled back of shown %",
          "calls to new, median",
          "calls to new, max",
          "share to new, median %",
          "share to new, max %",
          "shown to none, median s",
          "shown to none, p99 s",
          "proved",
          "proved to none, median s",
          "proved to none, p99 s",
          "proved to none, max s",
          "evidence B/s/node",
          "contradictions");

  List<String> cells() {
    long done = results.stream().filter(MoveResult::isDone).count();
    long doneBeforeDeadline =
        results.stream().filter(result -> result.isDone() && result.beforeDeadline()).count();
    long rolledBack = results.stream().filter(MoveResult::isRolledBack).count();
    List<MoveResult> faultShown = results.stream().filter(MoveResult::faultShown).toList();
    List<MoveResult> provedBad =
        results.stream().filter(result -> result.secondsFromProofToLastCall().isPresent()).toList();
    long faultShownAndRolledBack = faultShown.stream().filter(MoveResult::isRolledBack).count();
    return List.of(
        kind,
        scenario,
        String.valueOf(results.size()),
        bad ? "-" : percent(doneBeforeDeadline, results.size()),
        String.valueOf(done),
        String.valueOf(rolledBack),
        String.valueOf(results.size() - done - rolledBack),
        bad ? String.valueOf(faultShown.size()) : "-",
        bad ? percent(faultShownAndRolledBack, faultShown.size()) : "-",
        bad ? format(quantile(results, MoveResult::newVersionCalls, 0.5)) : "-",
        bad ? format(quantile(results, MoveResult::newVersionCalls, 1)) : "-",
        bad ? format(100 * quantile(results, MoveResult::newVersionCallShare, 0.5)) : "-",
        bad ? format(100 * quantile(results, MoveResult::newVersionCallShare, 1)) : "-",
        bad ? format(quantile(faultShown, MoveResult::secondsFromFaultToLastCall, 0.5)) : "-",
        bad ? format(quantile(faultShown, MoveResult::secondsFromFaultToLastCall, 0.99)) : "-",
        bad ? String.valueOf(provedBad.size()) : "-",
        bad ? format(quantile(provedBad, MoveStatistics::secondsFromProofToLastCall, 0.5)) : "-",
        bad ? format(quantile(provedBad, MoveStatistics::secondsFromProofToLastCall, 0.99)) : "-",
        bad ? format(quantile(provedBad, MoveStatistics::secondsFromProofToLastCall, 1)) : "-",
        format(quantile(results, MoveResult::evidenceBytesPerNodeSecond, 0.5)),
        String.valueOf(results.stream().mapToInt(MoveResult::contradictions).sum()));
  }

  private static double secondsFromProofToLastCall(MoveResult result) {
    return result.secondsFromProofToLastCall().orElse(0.0);
  }

  private static String percent(long part, long total) {
    return total == 0 ? "-" : String.format(Locale.ROOT, "%.2f", 100.0 * part / total);
  }

  private static String format(double value) {
    return String.format(Locale.ROOT, value >= 100 ? "%.0f" : "%.2f", value);
  }

  private static double quantile(
      List<MoveResult> results, ToDoubleFunction<MoveResult> metric, double rank) {
    double[] sorted = results.stream().mapToDouble(metric).sorted().toArray();
    if (sorted.length == 0) {
      return 0;
    }
    return sorted[(int) Math.min(sorted.length - 1L, (long) (rank * sorted.length))];
  }
}
