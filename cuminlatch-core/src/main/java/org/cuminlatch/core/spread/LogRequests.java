package org.cuminlatch.core.spread;

import java.time.Duration;
import org.cuminlatch.core.config.Bytes;

/**
 * Asynchronous requests to the platform's log; their answers are passed to {@link SpreadEngine}.
 *
 * <p>At most one read and one append per stream are outstanding at a time.
 */
public interface LogRequests {

  /** Offset after every record: a read from it returns no records, only the end of the stream. */
  long END_OF_STREAM = Long.MAX_VALUE;

  /** Streams that the distribution of configuration uses. */
  enum Stream {
    /** Configuration records. */
    CONFIGURATION,
    /** Checkpoints of the configuration. */
    CHECKPOINTS,
    /** Announcements of nodes that have no other node in their roster. */
    RENDEZVOUS
  }

  /**
   * Reads records; answered by {@code onLogBatch} or {@code onLogFailure}.
   *
   * @param stream the stream
   * @param from first offset to read, or {@link #END_OF_STREAM}
   * @param maxRecords maximum number of records to return
   * @param maxWait maximum time to wait for a record
   */
  void read(Stream stream, long from, int maxRecords, Duration maxWait);

  /**
   * Appends a record; answered by {@code onAppended} or {@code onLogFailure}. After a failure the
   * record may or may not be on the log.
   *
   * @param stream the stream
   * @param content the record
   */
  void append(Stream stream, Bytes content);
}
