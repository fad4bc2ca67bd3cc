package org.cuminlatch.node.http;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.OptionalDouble;

/**
 * Decision not to handle a request. It has not been executed and will not be.
 *
 * @param requestId id of the request for the log, {@code -} if it has none
 * @param status HTTP status of the response
 * @param reason reason, in the log and in the response
 * @param retryAfterSeconds time after which the caller should retry, empty if it should not
 */
public record Rejection(
    String requestId, int status, String reason, OptionalDouble retryAfterSeconds) {

  /** Validates the components. */
  public Rejection {
    notNull(requestId, "requestId");
    check(status >= 400 && status < 600, "status", "must be an error");
    notNull(reason, "reason");
    notNull(retryAfterSeconds, "retryAfterSeconds");
  }
}
