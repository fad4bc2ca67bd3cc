package org.cuminlatch.core.spread;

import java.time.Instant;
import java.util.List;
import org.cuminlatch.core.config.ConfigurationReplica;
import org.cuminlatch.core.config.LogRecord;
import org.cuminlatch.core.control.Outbox;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.ByteBudget;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.spread.SpreadMessage.Checkpoint;
import org.cuminlatch.core.spread.SpreadMessage.Records;

/** Sends records and checkpoints to peers, all within one byte budget. */
final class RecordExchange {

  private static final int MAX_BYTES = 32 * 1024;
  private static final int MAX_RECORDS = 256;

  private final ConfigurationReplica replica;
  private final Outbox outbox;
  private final ByteBudget budget;
  private Checkpoint encoded;

  RecordExchange(ConfigurationReplica replica, Outbox outbox, SpreadSettings settings) {
    this.replica = replica;
    this.outbox = outbox;
    this.budget = ByteBudget.of(settings.bytesPerSecond(), settings.burstBytes());
  }

  /** Pushes new records to the children; what the budget refuses they will pull. */
  void push(List<LogRecord> records, List<Member> children, Instant now) {
    int size = sizeOf(records);
    Records pushed = new Records(replica.version(), records, true);
    for (Member child : children) {
      if (size <= MAX_BYTES && budget.tryAcquire(size, now)) {
        outbox.send(child.controlAddress(), pushed);
      }
    }
  }

  /** Answers a pull with records, or with a checkpoint if too much is missing. */
  void answer(Address from, long offset, Instant now) {
    long missing = replica.version() - offset;
    if (missing <= 0) {
      return;
    }
    List<LogRecord> records =
        missing > MAX_RECORDS ? List.of() : replica.recordsFrom(offset, MAX_BYTES);
    if (records.isEmpty()) {
      sendCheckpoint(from, now);
    } else if (budget.tryAcquire(sizeOf(records), now)) {
      outbox.send(from, new Records(replica.version(), records, false));
    }
  }

  private void sendCheckpoint(Address to, Instant now) {
    if (encoded == null || encoded.version() != replica.version()) {
      encoded = new Checkpoint(replica.version(), replica.checkpoint());
    }
    if (budget.tryAcquire(encoded.content().length(), now)) {
      outbox.send(to, encoded);
    }
  }

  private static int sizeOf(List<LogRecord> records) {
    return records.stream().mapToInt(logged -> logged.content().length()).sum();
  }
}
