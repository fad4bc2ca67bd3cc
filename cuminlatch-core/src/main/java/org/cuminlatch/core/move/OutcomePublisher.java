package org.cuminlatch.core.move;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminlatch.core.config.MoveOutcome;

/**
 * Publishes the outcomes of moves, repeatedly until they are part of the configuration.
 *
 * <p>Any aggregator that holds a rollback may publish it. A move may be published as done only when
 * every node has ended its soak and no longer rolls back on its own, so that no later record can
 * contradict it.
 */
final class OutcomePublisher {

  private static final Duration RETRY_INTERVAL = Duration.ofSeconds(5);

  private final OutcomeSink sink;
  private final Map<MoveId, Instant> nextAttempts = new HashMap<>();
  private final Map<MoveId, Instant> decidedAt = new HashMap<>();

  OutcomePublisher(OutcomeSink sink) {
    this.sink = sink;
  }

  void publishWhenDue(
      MoveAggregator aggregator,
      Optional<Rollback> knownRollback,
      MeshTopology topology,
      Instant now) {
    NodeMove move = aggregator.move();
    Optional<MoveOutcome> outcome = outcome(aggregator, knownRollback, topology, now);
    if (outcome.isEmpty()) {
      return;
    }
    Instant attemptAt =
        nextAttempts.computeIfAbsent(
            move.id(), id -> now.plus(RETRY_INTERVAL.multipliedBy(topology.ownRank(id))));
    if (!now.isBefore(attemptAt)) {
      nextAttempts.put(move.id(), now.plus(RETRY_INTERVAL));
      sink.append(outcome.get());
    }
  }

  /** Lets this node publish the outcome without waiting for the aggregators that rank above it. */
  void skipRankDelay(MoveId move, Instant now) {
    nextAttempts.put(move, now);
  }

  void retain(Set<MoveId> openMoves) {
    nextAttempts.keySet().retainAll(openMoves);
    decidedAt.keySet().retainAll(openMoves);
  }

  private Optional<MoveOutcome> outcome(
      MoveAggregator aggregator,
      Optional<Rollback> knownRollback,
      MeshTopology topology,
      Instant now) {
    NodeMove move = aggregator.move();
    if (knownRollback.isPresent()) {
      Rollback rollback = knownRollback.get();
      double highestShare = Math.max(rollback.highestShare(), move.highestShare());
      return Optional.of(
          new MoveOutcome(
              move.move().name(),
              MoveOutcome.Result.ROLLED_BACK,
              rollback.reason(),
              rollback.decidedAt(),
              highestShare));
    }
    if (move.stop().isPresent()) {
      String reason = "stopped by the operator: " + move.stop().get().reason();
      return Optional.of(outcome(move, MoveOutcome.Result.ROLLED_BACK, reason, now));
    }
    if (!aggregator.isClosedEverywhere(topology, now)) {
      return Optional.empty();
    }
    String reason = aggregator.evaluation().reason();
    return Optional.of(outcome(move, MoveOutcome.Result.DONE, reason, now));
  }

  private MoveOutcome outcome(
      NodeMove move, MoveOutcome.Result result, String reason, Instant now) {
    Instant decisionTime = decidedAt.computeIfAbsent(move.id(), id -> now);
    return new MoveOutcome(move.move().name(), result, reason, decisionTime, move.highestShare());
  }
}
