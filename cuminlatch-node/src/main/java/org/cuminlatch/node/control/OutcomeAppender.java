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
 * <p>The engine asks again until the outcome shows, so a failed append is only logged. The record
 * id depends on the move and the result alone: repeats are dropped by the fold. The expected
 * version ties the outcome to this move; it cannot end a later one of the same name.
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
        .whenComplete((offset, failure) -> logged(outcome, offset, failure));
  }

  private static void logged(MoveOutcome outcome, Long offset, Throwable failure) {
    if (failure == null) {
      LOG.info("outcome of {} appended at offset {}: {}", outcome.name(), offset, outcome.result());
    } else {
      LOG.warn("outcome of {} could not be appended: {}", outcome.name(), failure.toString());
    }
  }
}
