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

/** Sends records and checkpoints to peers, limited by one byte budget. */
final class RecordSender {

  private static final int MAX_MESSAGE_BYTES = 32 * 1024;
  private static final int MAX_MESSAGE_RECORDS = 256;

  private final ConfigurationReplica replica;
  private final Outbox outbox;
  private final ByteBudget budget;
  private Checkpoint cachedCheckpoint;

  RecordSender(ConfigurationReplica replica, Outbox outbox, SpreadSettings settings) {
    this.replica = replica;
    this.outbox = outbox;
    this.budget = ByteBudget.of(settings.bytesPerSecond(), settings.burstBytes());
  }

  /** Pushes new records to the children; those that exceed the budget are left to their pulls. */
  void push(List<LogRecord> records, List<Member> children, Instant now) {
    int bytes = contentBytes(records);
    Records pushed = new Records(replica.version(), records, true);
    for (Member child : children) {
      if (bytes <= MAX_MESSAGE_BYTES && budget.tryAcquire(bytes, now)) {
        outbox.send(child.controlAddress(), pushed);
      }
    }
  }

  /** Answers a pull with records, or with a checkpoint if too many records are missing. */
  void answerPull(Address from, long offset, Instant now) {
    long missing = replica.version() - offset;
    if (missing <= 0) {
      return;
    }
    List<LogRecord> records =
        missing > MAX_MESSAGE_RECORDS ? List.of() : replica.recordsFrom(offset, MAX_MESSAGE_BYTES);
    if (records.isEmpty()) {
      sendCheckpoint(from, now);
    } else if (budget.tryAcquire(contentBytes(records), now)) {
      outbox.send(from, new Records(replica.version(), records, false));
    }
  }

  private void sendCheckpoint(Address to, Instant now) {
    if (cachedCheckpoint == null || cachedCheckpoint.version() != replica.version()) {
      cachedCheckpoint = new Checkpoint(replica.version(), replica.checkpoint());
    }
    if (budget.tryAcquire(cachedCheckpoint.content().length(), now)) {
      outbox.send(to, cachedCheckpoint);
    }
  }

  private static int contentBytes(List<LogRecord> records) {
    return records.stream().mapToInt(logRecord -> logRecord.content().length()).sum();
  }
}
