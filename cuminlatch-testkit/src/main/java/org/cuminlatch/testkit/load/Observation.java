package org.cuminlatch.testkit.load;

import java.time.Duration;

/**
 * Outcome of one request as its caller observed it.
 *
 * @param requestId ID of the request
 * @param idempotent whether the request may be retried after it may have been executed
 * @param outcome how the request ended
 * @param status HTTP status, 0 if there was no answer
 * @param version target version that answered, empty if the answer does not name one
 * @param sentAt time from the start of the load to sending the request
 * @param latency time from sending the request to the end of the answer
 */
public record Observation(
    String requestId,
    boolean idempotent,
    Outcome outcome,
    int status,
    String version,
    Duration sentAt,
    Duration latency) {}
