package org.cuminlatch.cli;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cuminlatch.core.config.ConfigurationReplica;
import org.cuminlatch.core.config.FoldEvent;
import org.cuminlatch.core.config.LogRecord;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;
import org.cuminlatch.wire.config.ConfigurationCodecs;
import org.cuminlatch.wire.log.LogClient;
import org.cuminlatch.wire.log.LogClient.LogBatch;
import org.cuminlatch.wire.log.LogClient.LogExtent;
import org.cuminlatch.wire.log.LogStreams;

/**
 * Replica of the configuration that the tool folds from the log. The verdict on a record is the
 * same as on every node.
 */
final class LogReplica {

  private static final int MAX_BATCH_RECORDS = 500;
  private static final int MAX_CHECKPOINT_ATTEMPTS = 5;

  private final LogClient log;
  private final List<FoldEvent.Decided> decisions = new ArrayList<>();
  private final ConfigurationReplica replica = ConfigurationCodecs.replica(this::onEvent);

  private LogReplica(LogClient log) {
    this.log = log;
  }

  /**
   * Restores the latest valid checkpoint and folds the records after it.
   *
   * @param log client of the log
   * @return a replica that has folded the log to its end
   */
  static LogReplica load(LogClient log) {
    LogReplica logReplica = new LogReplica(log);
    logReplica.restoreLatestCheckpoint();
    logReplica.catchUp();
    return logReplica;
  }

  ConfigurationReplica replica() {
    return replica;
  }

  /** Folds the records of the log that the replica has not folded yet. */
  void catchUp() {
    long next = LogClients.await(log.extent(LogStreams.CONFIGURATION)).nextOffset();
    while (replica.version() < next) {
      LogBatch batch =
          LogClients.await(
              log.read(
                  LogStreams.CONFIGURATION, replica.version(), MAX_BATCH_RECORDS, Duration.ZERO));
      if (replica.fold(batch.records()) == 0) {
        throw missingRecord(replica.version());
      }
    }
  }

  /**
   * Looks up the verdict on a record.
   *
   * @param recordId id of the record
   * @return the first verdict, empty if the record has not been folded
   */
  Optional<FoldEvent.Decided> decision(String recordId) {
    return decisions.stream()
        .filter(decision -> decision.recordId().filter(recordId::equals).isPresent())
        .findFirst();
  }

  private void restoreLatestCheckpoint() {
    LogExtent extent = LogClients.await(log.extent(LogStreams.CHECKPOINTS));
    long oldestOffset =
        Math.max(extent.firstOffset(), extent.nextOffset() - MAX_CHECKPOINT_ATTEMPTS);
    for (long offset = extent.nextOffset() - 1; offset >= oldestOffset; offset--) {
      LogBatch batch = LogClients.await(log.read(LogStreams.CHECKPOINTS, offset, 1, Duration.ZERO));
      if (batch.records().stream().anyMatch(this::restore)) {
        return;
      }
    }
  }

  private boolean restore(LogRecord record) {
    try {
      return replica.restore(record.content());
    } catch (CuminlatchException e) {
      return false;
    }
  }

  private void onEvent(FoldEvent event) {
    if (event instanceof FoldEvent.Decided decided) {
      decisions.add(decided);
    }
  }

  private static CuminlatchException missingRecord(long offset) {
    return CuminlatchException.of(
        ErrorCode.LOG_TRUNCATED,
        Step.LOG_READ,
        "the log returned no records from offset " + offset);
  }
}
