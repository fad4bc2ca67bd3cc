package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

/**
 * A record as the platform's log returns it.
 *
 * @param offset position on the stream, starting at 0
 * @param content the encoded {@link RecordEnvelope}, or any other bytes that were appended
 */
public record LogRecord(long offset, Bytes content) {

  /** Validates the components. */
  public LogRecord {
    notNegative(offset, "offset");
    notNull(content, "content");
  }
}
