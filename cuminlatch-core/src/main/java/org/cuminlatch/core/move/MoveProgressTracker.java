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

/**
 * Reports decisions to a listener, without repeated holds, and publishes the progress of the open
 * moves for any thread to read.
 */
final class MoveProgressTracker {

  private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(1);

  private final MoveDecisionListener listener;
  private final Map<MoveId, String> lastReasons = new HashMap<>();
  private volatile List<MoveProgress> progress = List.of();
  private Instant nextRefresh = Instant.MIN;

  MoveProgressTracker(MoveDecisionListener listener) {
    this.listener = listener;
  }

  void recordDecision(NodeMove move, MoveDecision.Kind kind, String reason, Instant now) {
    String previous = lastReasons.put(move.id(), reason);
    if (kind == MoveDecision.Kind.HOLD
        && previous != null
        && equalIgnoringFigures(previous, reason)) {
      return;
    }
    nextRefresh = Instant.MIN;
    listener.onDecision(
        new MoveDecision(move.move().name(), kind, move.step(), move.share(), reason, now));
  }

  /** Updates the progress if a decision was made or the refresh interval has passed. */
  void refresh(
      Collection<NodeMove> moves,
      Map<MoveId, MoveAggregator> aggregators,
      KnownRollbacks knownRollbacks,
      MeshTopology topology,
      Instant now) {
    if (now.isBefore(nextRefresh)) {
      return;
    }
    nextRefresh = now.plus(REFRESH_INTERVAL);
    List<MoveProgress> progressOfOpenMoves = new ArrayList<>();
    for (NodeMove move : moves) {
      Optional<Rollback> rollback = knownRollbacks.of(move.id());
      MoveAggregator aggregator = aggregators.get(move.id());
      progressOfOpenMoves.add(
          new MoveProgress(
              move.move().name(),
              move.move().service(),
              move.step(),
              move.plan().shares().size(),
              move.share(),
              move.highestShare(),
              rollback.map(Rollback::reason).orElseGet(() -> reasonFor(move, topology)),
              aggregator == null ? "" : aggregator.evaluation().reason(),
              move.closed(),
              rollback.isPresent() || move.stop().isPresent()));
    }
    progress = List.copyOf(progressOfOpenMoves);
  }

  List<MoveProgress> progress() {
    return progress;
  }

  void retain(Set<MoveId> openMoves) {
    lastReasons.keySet().retainAll(openMoves);
    nextRefresh = Instant.MIN;
  }

  private String reasonFor(NodeMove move, MeshTopology topology) {
    String reason = lastReasons.get(move.id());
    if (reason != null) {
      return reason;
    }
    return topology
        .localAggregator(move.id())
        .map(aggregator -> "evaluated by aggregator " + aggregator.instance())
        .orElse("no aggregator is known");
  }

  private static boolean equalIgnoringFigures(String first, String second) {
    return first.equals(second) || withoutFigures(first).equals(withoutFigures(second));
  }

  private static String withoutFigures(String reason) {
    return reason.replaceAll("[-0-9.]+", "");
  }
}
