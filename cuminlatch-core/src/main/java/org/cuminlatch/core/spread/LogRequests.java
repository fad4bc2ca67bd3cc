package org.cuminlatch.core.spread;

import java.time.Duration;
import org.cuminlatch.core.config.Bytes;

/**
 * Requests to the platform's log; the answers come as events of {@link SpreadEngine}.
 *
 * <p>At most one read and one append of a stream are outstanding at a time.
 */
public interface LogRequests {

  /** Offset beyond every record: such a read returns no records, but the end of the stream. */
  long END_OF_STREAM = Long.MAX_VALUE;

  /** Streams that the distribution of configuration uses. */
  enum Stream {
    /** Configuration records. */
    CONFIGURATION,
    /** Checkpoints of the configuration. */
    CHECKPOINTS,
    /** Announcements of nodes that know no other node. */
    RENDEZVOUS
  }

  /**
   * Reads records; answered by {@code onLogBatch} or {@code onLogFailure}.
   *
   * @param stream the stream
   * @param from first offset wanted, or {@link #END_OF_STREAM}
   * @param maxRecords most records to return
   * @param wait longest time to wait for a record
   */
  void read(Stream stream, long from, int maxRecords, Duration wait);

  /**
   * Appends a record; answered by {@code onAppended} or {@code onLogFailure}, after which it may or
   * may not stand on the log.
   *
   * @param stream the stream
   * @param content the record
   */
  void append(Stream stream, Bytes content);
}
