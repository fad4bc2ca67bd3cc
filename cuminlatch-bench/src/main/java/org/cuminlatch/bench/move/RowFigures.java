package org.cuminlatch.bench.move;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Figures over the moves of one row. */
record RowFigures(String kind, String control, boolean bad, List<MoveResult> results) {

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
    long doneInTime = results.stream().filter(result -> result.isDone() && result.inTime()).count();
    long back = results.stream().filter(MoveResult::isRolledBack).count();
    List<MoveResult> shown = results.stream().filter(MoveResult::shown).toList();
    List<MoveResult> proved =
        results.stream().filter(result -> result.provedToNone().isPresent()).toList();
    long shownBack = shown.stream().filter(MoveResult::isRolledBack).count();
    return List.of(
        kind,
        control,
        String.valueOf(results.size()),
        bad ? "-" : percent(doneInTime, results.size()),
        String.valueOf(done),
        String.valueOf(back),
        String.valueOf(results.size() - done - back),
        bad ? String.valueOf(shown.size()) : "-",
        bad ? percent(shownBack, shown.size()) : "-",
        bad ? format(quantile(results, MoveResult::newCalls, 0.5)) : "-",
        bad ? format(quantile(results, MoveResult::newCalls, 1)) : "-",
        bad ? format(100 * quantile(results, MoveResult::firstStepPart, 0.5)) : "-",
        bad ? format(100 * quantile(results, MoveResult::firstStepPart, 1)) : "-",
        bad ? format(quantile(shown, MoveResult::secondsToNone, 0.5)) : "-",
        bad ? format(quantile(shown, MoveResult::secondsToNone, 0.99)) : "-",
        bad ? String.valueOf(proved.size()) : "-",
        bad ? format(quantile(proved, RowFigures::provedToNone, 0.5)) : "-",
        bad ? format(quantile(proved, RowFigures::provedToNone, 0.99)) : "-",
        bad ? format(quantile(proved, RowFigures::provedToNone, 1)) : "-",
        format(quantile(results, MoveResult::bytesPerNodeSecond, 0.5)),
        String.valueOf(results.stream().mapToInt(MoveResult::contradictions).sum()));
  }

  private static double provedToNone(MoveResult result) {
    return result.provedToNone().orElse(0.0);
  }

  private static String percent(long part, long whole) {
    return whole == 0 ? "-" : String.format(Locale.ROOT, "%.2f", 100.0 * part / whole);
  }

  private static String format(double value) {
    return String.format(Locale.ROOT, value >= 100 ? "%.0f" : "%.2f", value);
  }

  private static double quantile(
      List<MoveResult> results, ToDoubleFunction<MoveResult> figure, double rank) {
    double[] sorted = results.stream().mapToDouble(figure).sorted().toArray();
    if (sorted.length == 0) {
      return 0;
    }
    return sorted[(int) Math.min(sorted.length - 1L, (long) (rank * sorted.length))];
  }
}
