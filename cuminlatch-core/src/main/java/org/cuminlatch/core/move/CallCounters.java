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

/** Counts this node's own calls for the open moves. Thread-safe. */
final class CallCounters {

  private final Map<CellKey, Cell> cells = new ConcurrentHashMap<>();

  void count(MoveId move, Side side, CallOutcome outcome) {
    if (!reflectsVersion(outcome.result())) {
      return;
    }
    cells.computeIfAbsent(new CellKey(move, outcome.route(), side), key -> new Cell()).add(outcome);
  }

  List<EvidenceRow> rows(MoveId move) {
    List<EvidenceRow> rows = new ArrayList<>();
    cells.forEach(
        (key, cell) -> {
          if (key.move().equals(move)) {
            rows.add(new EvidenceRow(key.route(), key.side(), cell.toCounts()));
          }
        });
    rows.sort(Comparator.comparing(EvidenceRow::route).thenComparing(EvidenceRow::side));
    return rows;
  }

  void retain(Set<MoveId> openMoves) {
    cells.keySet().removeIf(key -> !openMoves.contains(key.move()));
  }

  private static boolean reflectsVersion(CallOutcome.Result result) {
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

    CallCounts toCounts() {
      long failed = failures.sum();
      long coldFailed = coldFailures.sum();
      List<Long> latencyCounts = new ArrayList<>();
      int bucketCount = usedBuckets();
      for (int i = 0; i < bucketCount; i++) {
        latencyCounts.add(latencies.get(i));
      }
      return new CallCounts(
          Math.max(calls.sum(), failed),
          failed,
          Math.max(coldCalls.sum(), coldFailed),
          coldFailed,
          latencyCounts);
    }

    private int usedBuckets() {
      int bucketCount = LatencyBuckets.COUNT;
      while (bucketCount > 0 && latencies.get(bucketCount - 1) == 0) {
        bucketCount--;
      }
      return bucketCount;
    }
  }
}
