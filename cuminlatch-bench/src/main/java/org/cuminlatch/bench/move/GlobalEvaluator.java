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

/** Evaluates a version with all calls of the mesh and records when it could first be proved bad. */
final class GlobalEvaluator {

  private final VersionEvaluator evaluator;
  private final MovePlan plan;
  private final String newVersion;
  private final Map<Key, long[]> countsByKey = new TreeMap<>();
  private Optional<Instant> provedBadAt = Optional.empty();

  private record Key(String route, Side side) implements Comparable<Key> {

    @Override
    public int compareTo(Key other) {
      int byRoute = route.compareTo(other.route);
      return byRoute != 0 ? byRoute : side.compareTo(other.side);
    }
  }

  GlobalEvaluator(Move move) {
    this.plan = MovePlan.of(move);
    this.newVersion = move.to();
    this.evaluator = new VersionEvaluator(plan, MoveSettings.defaults().maxFalseRollbackRate());
  }

  void recordCall(CallOutcome call) {
    boolean failed = call.result() == CallOutcome.Result.FAILURE;
    if (!failed && call.result() != CallOutcome.Result.SUCCESS) {
      return;
    }
    Side side = call.version().equals(newVersion) ? Side.NEW : Side.OLD;
    long[] counters =
        countsByKey.computeIfAbsent(
            new Key(call.route(), side), key -> new long[4 + LatencyBuckets.COUNT]);
    int offset = call.coldTarget() ? 2 : 0;
    counters[offset]++;
    counters[offset + 1] += failed ? 1 : 0;
    if (!failed && !call.coldTarget()) {
      counters[4 + LatencyBuckets.indexOf(call.latency())]++;
    }
  }

  void evaluate(double share, Instant now) {
    if (provedBadAt.isPresent()) {
      return;
    }
    List<EvidenceRow> rows = new ArrayList<>();
    countsByKey.forEach(
        (key, counters) -> rows.add(new EvidenceRow(key.route(), key.side(), counts(counters))));
    int step = -1;
    while (step < plan.lastStep() && plan.share(step + 1) <= share) {
      step++;
    }
    Evaluation evaluation = evaluator.evaluate(Evidence.of(rows), step, now);
    if (evaluation.kind() == Evaluation.Kind.BAD) {
      provedBadAt = Optional.of(now);
    }
  }

  Optional<Instant> provedBadAt() {
    return provedBadAt;
  }

  private static CallCounts counts(long[] counters) {
    List<Long> latencies = new ArrayList<>(LatencyBuckets.COUNT);
    for (int i = 4; i < counters.length; i++) {
      latencies.add(counters[i]);
    }
    return new CallCounts(counters[0], counters[1], counters[2], counters[3], latencies);
  }
}
