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
 * The tool's own replica, folded from the log: the verdict on a record is the same here as on every
 * node.
 */
final class LogReplica {

  private static final int BATCH_RECORDS = 500;
  private static final int CHECKPOINTS_TRIED = 5;

  private final LogClient log;
  private final List<FoldEvent.Decided> decisions = new ArrayList<>();
  private final ConfigurationReplica replica = ConfigurationCodecs.replica(this::onEvent);

  private LogReplica(LogClient log) {
    this.log = log;
  }

  /**
   * Reads the latest checkpoint and the records after it.
   *
   * @param log the log
   * @return a replica at the end of the log
   */
  static LogReplica load(LogClient log) {
    LogReplica loaded = new LogReplica(log);
    loaded.restoreLatestCheckpoint();
    loaded.catchUp();
    return loaded;
  }

  ConfigurationReplica replica() {
    return replica;
  }

  /** Folds what the log holds beyond the replica. */
  void catchUp() {
    long next = LogOptions.await(log.extent(LogStreams.CONFIGURATION)).nextOffset();
    while (replica.version() < next) {
      LogBatch batch =
          LogOptions.await(
              log.read(LogStreams.CONFIGURATION, replica.version(), BATCH_RECORDS, Duration.ZERO));
      if (replica.fold(batch.records()) == 0) {
        throw missing(replica.version());
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
    LogExtent extent = LogOptions.await(log.extent(LogStreams.CHECKPOINTS));
    long oldest = Math.max(extent.firstOffset(), extent.nextOffset() - CHECKPOINTS_TRIED);
    for (long offset = extent.nextOffset() - 1; offset >= oldest; offset--) {
      LogBatch batch = LogOptions.await(log.read(LogStreams.CHECKPOINTS, offset, 1, Duration.ZERO));
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

  private static CuminlatchException missing(long offset) {
    return CuminlatchException.of(
        ErrorCode.LOG_TRUNCATED, Step.LOG_READ, "the log does not return offset " + offset);
  }
}
