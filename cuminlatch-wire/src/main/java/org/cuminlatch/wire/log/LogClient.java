package org.cuminlatch.wire.log;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.LogRecord;

/**
 * Client of the platform's append-only log.
 *
 * <p>The futures fail with a {@code CuminlatchException} that contains the step and the peer.
 */
public interface LogClient extends AutoCloseable {

  /**
   * Appends a record; if the future fails, the record may or may not have been appended.
   *
   * @param stream name of the stream
   * @param content the record
   * @return the offset assigned to the record
   */
  CompletableFuture<Long> append(String stream, Bytes content);

  /**
   * Reads records, or waits for new ones if there are none.
   *
   * @param stream name of the stream
   * @param from offset of the first record to return
   * @param maxRecords maximum number of records to return
   * @param maxWait maximum time to wait for a new record
   * @return the batch, possibly empty; fails with {@code LOG_TRUNCATED} if the log no longer
   *     retains the offset {@code from}
   */
  CompletableFuture<LogBatch> read(String stream, long from, int maxRecords, Duration maxWait);

  /**
   * Returns the range of offsets that the log holds of a stream.
   *
   * @param stream name of the stream
   * @return the first retained offset and the next offset to be assigned
   */
  default CompletableFuture<LogExtent> extent(String stream) {
    return read(stream, 0, 1, Duration.ZERO)
        .thenApply(batch -> new LogExtent(batch.firstOffset(), batch.nextOffset()));
  }

  @Override
  void close();

  /**
   * Range of offsets that the log holds of a stream.
   *
   * @param firstOffset lowest offset that the log retains
   * @param nextOffset offset that will be assigned to the next appended record
   */
  record LogExtent(long firstOffset, long nextOffset) {}

  /**
   * Records read from a stream.
   *
   * @param firstOffset lowest offset that the log retains
   * @param nextOffset offset that will be assigned to the next appended record
   * @param records the records, ascending by offset
   */
  record LogBatch(long firstOffset, long nextOffset, List<LogRecord> records) {

    /** Copies the records. */
    public LogBatch {
      records = List.copyOf(records);
    }
  }
}
