package org.cuminlatch.bench.move;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.move.CallCounts;
import org.cuminlatch.core.move.CallOutcome;
import org.cuminlatch.core.move.Evaluation;
import org.cuminlatch.core.move.Evidence;
import org.cuminlatch.core.move.EvidenceRow;
import org.cuminlatch.core.move.EvidenceRow.Side;
import org.cuminlatch.core.move.LatencyBuckets;
import org.cuminlatch.core.move.MovePlan;
import org.cuminlatch.core.move.MoveSettings;
import org.cuminlatch.core.move.VersionEvaluator;

/** The judge with all calls at hand at once: tells when a version could first be shown bad. */
final class Oracle {

  private final VersionEvaluator judge;
  private final MovePlan plan;
  private final String newVersion;
  private final Map<Key, long[]> cells = new TreeMap<>();
  private Optional<Instant> provedAt = Optional.empty();

  private record Key(String route, Side side) implements Comparable<Key> {

    @Override
    public int compareTo(Key other) {
      int byRoute = route.compareTo(other.route);
      return byRoute != 0 ? byRoute : side.compareTo(other.side);
    }
  }

  Oracle(Move move) {
    this.plan = MovePlan.of(move);
    this.newVersion = move.to();
    this.judge = new VersionEvaluator(plan, MoveSettings.defaults().maxFalseRollbackRate());
  }

  void observed(CallOutcome call) {
    boolean failed = call.result() == CallOutcome.Result.FAILURE;
    if (!failed && call.result() != CallOutcome.Result.SUCCESS) {
      return;
    }
    Side side = call.version().equals(newVersion) ? Side.NEW : Side.OLD;
    long[] cell =
        cells.computeIfAbsent(
            new Key(call.route(), side), key -> new long[4 + LatencyBuckets.COUNT]);
    int offset = call.coldTarget() ? 2 : 0;
    cell[offset]++;
    cell[offset + 1] += failed ? 1 : 0;
    if (!failed && !call.coldTarget()) {
      cell[4 + LatencyBuckets.indexOf(call.latency())]++;
    }
  }

  void look(double share, Instant now) {
    if (provedAt.isPresent()) {
      return;
    }
    List<EvidenceRow> rows = new ArrayList<>();
    cells.forEach((key, cell) -> rows.add(new EvidenceRow(key.route(), key.side(), counts(cell))));
    int step = -1;
    while (step < plan.lastStep() && plan.share(step + 1) <= share) {
      step++;
    }
    Evaluation verdict = judge.evaluate(Evidence.of(rows), step, now);
    if (verdict.kind() == Evaluation.Kind.BAD) {
      provedAt = Optional.of(now);
    }
  }

  Optional<Instant> provedAt() {
    return provedAt;
  }

  private static CallCounts counts(long[] cell) {
    List<Long> latencies = new ArrayList<>(LatencyBuckets.COUNT);
    for (int i = 4; i < cell.length; i++) {
      latencies.add(cell[i]);
    }
    return new CallCounts(cell[0], cell[1], cell[2], cell[3], latencies);
  }
}
