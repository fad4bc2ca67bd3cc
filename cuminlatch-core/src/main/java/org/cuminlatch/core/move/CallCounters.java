package org.cuminlatch.core.move;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.LongAdder;
import org.cuminlatch.core.move.EvidenceRow.Side;

/** Counts of this node's own calls for the open moves; written by traffic threads. */
final class CallCounters {

  private final Map<CellKey, Cell> cells = new ConcurrentHashMap<>();

  void count(MoveId move, Side side, CallOutcome outcome) {
    if (!tellsOfVersion(outcome.result())) {
      return;
    }
    cells.computeIfAbsent(new CellKey(move, outcome.route(), side), key -> new Cell()).add(outcome);
  }

  List<EvidenceRow> rows(MoveId move) {
    List<EvidenceRow> rows = new ArrayList<>();
    cells.forEach(
        (key, cell) -> {
          if (key.move().equals(move)) {
            rows.add(new EvidenceRow(key.route(), key.side(), cell.read()));
          }
        });
    rows.sort(Comparator.comparing(EvidenceRow::route).thenComparing(EvidenceRow::side));
    return rows;
  }

  void retain(Set<MoveId> open) {
    cells.keySet().removeIf(key -> !open.contains(key.move()));
  }

  private static boolean tellsOfVersion(CallOutcome.Result result) {
    return result == CallOutcome.Result.SUCCESS || result == CallOutcome.Result.FAILURE;
  }

  private record CellKey(MoveId move, String route, Side side) {}

  private static final class Cell {

    private final LongAdder calls = new LongAdder();
    private final LongAdder failures = new LongAdder();
    private final LongAdder coldCalls = new LongAdder();
    private final LongAdder coldFailures = new LongAdder();
    private final AtomicLongArray latencies = new AtomicLongArray(LatencyBuckets.COUNT);

    void add(CallOutcome outcome) {
      boolean failed = outcome.result() == CallOutcome.Result.FAILURE;
      (outcome.coldTarget() ? coldCalls : calls).increment();
      if (failed) {
        (outcome.coldTarget() ? coldFailures : failures).increment();
      }
      if (!failed && !outcome.coldTarget()) {
        latencies.incrementAndGet(LatencyBuckets.indexOf(outcome.latency()));
      }
    }

    Counts read() {
      long failed = failures.sum();
      long coldFailed = coldFailures.sum();
      List<Long> timed = new ArrayList<>();
      int used = usedBuckets();
      for (int i = 0; i < used; i++) {
        timed.add(latencies.get(i));
      }
      return new Counts(
          Math.max(calls.sum(), failed),
          failed,
          Math.max(coldCalls.sum(), coldFailed),
          coldFailed,
          timed);
    }

    private int usedBuckets() {
      int used = LatencyBuckets.COUNT;
      while (used > 0 && latencies.get(used - 1) == 0) {
        used--;
      }
      return used;
    }
  }
}
