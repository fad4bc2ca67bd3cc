package org.cuminlatch.node.control;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.OptionalLong;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.MoveOutcome;
import org.cuminlatch.core.config.MoveState;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.move.OutcomeSink;
import org.cuminlatch.wire.config.ConfigurationCodecs;
import org.cuminlatch.wire.log.LogClient;
import org.cuminlatch.wire.log.LogStreams;

/**
 * Appends the outcomes of moves to the platform's log.
 *
 * <p>A failed append is only logged, because the move engine repeats the request until the outcome
 * is part of the configuration. The record id depends only on the move and its result, so the fold
 * drops repeated records. The expected version binds the outcome to this move, so that it cannot
 * end a later move of the same name.
 */
final class OutcomeAppender implements OutcomeSink {

  private static final Logger LOG = LogManager.getLogger(OutcomeAppender.class);

  private final LogClient client;
  private final Supplier<Snapshot> snapshot;

  OutcomeAppender(LogClient client, Supplier<Snapshot> snapshot) {
    this.client = notNull(client, "client");
    this.snapshot = notNull(snapshot, "snapshot");
  }

  @Override
  public void append(MoveOutcome outcome) {
    MoveState move = snapshot.get().moves().get(outcome.name());
    if (move == null) {
      return;
    }
    String recordId =
        "outcome/" + outcome.name() + "/" + move.acceptedAt() + "/" + outcome.result();
    Bytes content =
        ConfigurationCodecs.encode(recordId, outcome, OptionalLong.of(move.acceptedAt()));
    client
        .append(LogStreams.CONFIGURATION, content)
        .whenComplete((offset, failure) -> logResult(outcome, offset, failure));
  }

  private static void logResult(MoveOutcome outcome, Long offset, Throwable failure) {
    if (failure == null) {
      LOG.info(
          "appended the outcome of move {} at offset {}: {}",
          outcome.name(),
          offset,
          outcome.result());
    } else {
      LOG.warn("could not append the outcome of move {}: {}", outcome.name(), failure.toString());
    }
  }
}
