package org.cuminlatch.wire.log;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.LogRecord;

/**
 * Access to the platform's append-only log.
 *
 * <p>The futures fail with a {@code CuminlatchException} that carries the step and the peer.
 */
public interface LogClient extends AutoCloseable {

  /**
   * Appends a record; after a failure it may or may not have been appended.
   *
   * @param stream name of the stream
   * @param content the record
   * @return the offset given to the record
   */
  CompletableFuture<Long> append(String stream, Bytes content);

  /**
   * Reads records, waiting for new ones if there are none.
   *
   * @param stream name of the stream
   * @param from first offset wanted
   * @param maxRecords most records to return
   * @param wait longest time to wait for a new record
   * @return the batch, possibly empty; it fails with {@code LOG_TRUNCATED} if the log no longer
   *     retains the first offset
   */
  CompletableFuture<LogBatch> read(String stream, long from, int maxRecords, Duration wait);

  /**
   * Finds out which offsets the log holds.
   *
   * @param stream name of the stream
   * @return the first offset retained and the next one
   */
  default CompletableFuture<LogExtent> extent(String stream) {
    return read(stream, 0, 1, Duration.ZERO)
        .thenApply(batch -> new LogExtent(batch.firstOffset(), batch.nextOffset()));
  }

  @Override
  void close();

  /**
   * Offsets that the log holds of a stream.
   *
   * @param firstOffset oldest offset that the log retains
   * @param nextOffset offset that the next appended record will get
   */
  record LogExtent(long firstOffset, long nextOffset) {}

  /**
   * Records read from a stream.
   *
   * @param firstOffset oldest offset that the log retains
   * @param nextOffset offset that the next appended record will get
   * @param records the records in the order of their offsets
   */
  record LogBatch(long firstOffset, long nextOffset, List<LogRecord> records) {

    /** Copies the records. */
    public LogBatch {
      records = List.copyOf(records);
    }
  }
}
