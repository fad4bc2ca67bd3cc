package org.cuminlatch.core.move;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Passes on decisions, each once, and keeps the view of progress that any thread may read. */
final class MoveProgressTracker {

  private static final Duration REFRESH = Duration.ofSeconds(1);

  private final MoveDecisionListener listener;
  private final Map<MoveId, String> lastReasons = new HashMap<>();
  private volatile List<MoveProgress> progress = List.of();
  private Instant nextRefresh = Instant.MIN;

  MoveProgressTracker(MoveDecisionListener listener) {
    this.listener = listener;
  }

  void decided(NodeMove move, MoveDecision.Kind kind, String reason, Instant now) {
    String previous = lastReasons.put(move.id(), reason);
    if (kind == MoveDecision.Kind.HOLD && previous != null && sameText(previous, reason)) {
      return;
    }
    nextRefresh = Instant.MIN;
    listener.decided(
        new MoveDecision(move.move().name(), kind, move.step(), move.share(), reason, now));
  }

  /** Brings the progress up to date if something was decided or some time has passed. */
  void refresh(
      Collection<NodeMove> moves,
      Map<MoveId, MoveAggregator> aggregators,
      KnownRollbacks facts,
      MeshTopology sight,
      Instant now) {
    if (now.isBefore(nextRefresh)) {
      return;
    }
    nextRefresh = now.plus(REFRESH);
    List<MoveProgress> open = new ArrayList<>();
    for (NodeMove move : moves) {
      Optional<Rollback> fact = facts.of(move.id());
      MoveAggregator aggregator = aggregators.get(move.id());
      open.add(
          new MoveProgress(
              move.move().name(),
              move.move().service(),
              move.step(),
              move.plan().shares().size(),
              move.share(),
              move.highestShare(),
              fact.map(Rollback::reason).orElseGet(() -> reasonFor(move, sight)),
              aggregator == null ? "" : aggregator.verdict().reason(),
              move.closed(),
              fact.isPresent() || move.stop().isPresent()));
    }
    progress = List.copyOf(open);
  }

  List<MoveProgress> progress() {
    return progress;
  }

  void retain(Set<MoveId> open) {
    lastReasons.keySet().retainAll(open);
    nextRefresh = Instant.MIN;
  }

  private String reasonFor(NodeMove move, MeshTopology sight) {
    String reason = lastReasons.get(move.id());
    if (reason != null) {
      return reason;
    }
    return sight
        .ownAggregator(move.id())
        .map(aggregator -> "judged by " + aggregator.instance())
        .orElse("no aggregator is known");
  }

  private static boolean sameText(String one, String other) {
    return one.equals(other) || withoutFigures(one).equals(withoutFigures(other));
  }

  private static String withoutFigures(String reason) {
    return reason.replaceAll("[-0-9.]+", "");
  }
}
