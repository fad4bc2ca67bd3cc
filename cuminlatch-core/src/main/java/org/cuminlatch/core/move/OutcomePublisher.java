package org.cuminlatch.core.move;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminlatch.core.config.MoveOutcome;

/**
 * States the outcomes of moves, again and again until they show in the configuration.
 *
 * <p>A rollback may be stated by whoever knows of it. Done may be stated only when every node has
 * promised not to roll back by itself any more, so that a later record can't contradict it.
 */
final class OutcomePublisher {

  private static final Duration RETRY = Duration.ofSeconds(5);

  private final OutcomeSink sink;
  private final Map<MoveId, Instant> due = new HashMap<>();
  private final Map<MoveId, Instant> decidedAt = new HashMap<>();

  OutcomePublisher(OutcomeSink sink) {
    this.sink = sink;
  }

  void state(MoveAggregator aggregator, Optional<Rollback> fact, MeshTopology sight, Instant now) {
    NodeMove move = aggregator.move();
    Optional<MoveOutcome> outcome = outcome(aggregator, fact, sight, now);
    if (outcome.isEmpty()) {
      return;
    }
    Instant at =
        due.computeIfAbsent(move.id(), id -> now.plus(RETRY.multipliedBy(sight.rankOfSelf(id))));
    if (!now.isBefore(at)) {
      due.put(move.id(), now.plus(RETRY));
      sink.append(outcome.get());
    }
  }

  /** Lets this node state the outcome without waiting for those that rank before it. */
  void hurry(MoveId move, Instant now) {
    due.put(move, now);
  }

  void retain(Set<MoveId> open) {
    due.keySet().retainAll(open);
    decidedAt.keySet().retainAll(open);
  }

  private Optional<MoveOutcome> outcome(
      MoveAggregator aggregator, Optional<Rollback> fact, MeshTopology sight, Instant now) {
    NodeMove move = aggregator.move();
    if (fact.isPresent()) {
      Rollback rollback = fact.get();
      double highest = Math.max(rollback.highestShare(), move.highestShare());
      return Optional.of(
          new MoveOutcome(
              move.move().name(),
              MoveOutcome.Result.ROLLED_BACK,
              rollback.reason(),
              rollback.decidedAt(),
              highest));
    }
    if (move.stop().isPresent()) {
      String reason = "stopped by the operator: " + move.stop().get().reason();
      return Optional.of(outcome(move, MoveOutcome.Result.ROLLED_BACK, reason, now));
    }
    if (!aggregator.isClosedEverywhere(sight, now)) {
      return Optional.empty();
    }
    String reason = aggregator.verdict().reason();
    return Optional.of(outcome(move, MoveOutcome.Result.DONE, reason, now));
  }

  private MoveOutcome outcome(
      NodeMove move, MoveOutcome.Result result, String reason, Instant now) {
    Instant decided = decidedAt.computeIfAbsent(move.id(), id -> now);
    return new MoveOutcome(move.move().name(), result, reason, decided, move.highestShare());
  }
}
