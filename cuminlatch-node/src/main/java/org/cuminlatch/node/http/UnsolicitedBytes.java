package org.cuminlatch.node.http;

import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

/**
 * Bytes that a server has sent on a connection without having been asked for them.
 *
 * @param position where they were found
 * @param bytes number of bytes that had been received and not decoded when they were found
 */
public record UnsolicitedBytes(Position position, int bytes) {

  /** Validates the components. */
  public UnsolicitedBytes {
    notNull(position, "position");
    notNegative(bytes, "bytes");
  }

  /** Position of unsolicited bytes on a connection. */
  public enum Position {
    /** The connection carried no request. */
    IDLE,

    /** They were received together with the end of a response. */
    AFTER_RESPONSE,

    /** They precede the awaited response, as one to another request or as other bytes. */
    BEFORE_RESPONSE,

    /** They are a head within the body of a response, which is not whole then. */
    WITHIN_RESPONSE
  }
}
