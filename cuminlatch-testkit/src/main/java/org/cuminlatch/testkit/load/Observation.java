package org.cuminlatch.testkit.load;

import java.time.Duration;

/**
 * One request as its caller saw it.
 *
 * @param requestId id of the request
 * @param idempotent whether it may be repeated
 * @param outcome how it ended
 * @param status HTTP status, 0 if there was no answer
 * @param version target version that answered, empty if unknown
 * @param sentAt time since the start of the load at which it was sent
 * @param latency time until the end of the answer
 */
public record Observation(
    String requestId,
    boolean idempotent,
    Outcome outcome,
    int status,
    String version,
    Duration sentAt,
    Duration latency) {}
