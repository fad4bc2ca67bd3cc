package org.cuminlatch.cli.request;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;

/**
 * One event in the timeline of a request.
 *
 * @param time when it happened by the node's clock, which may differ from those of others
 * @param node where it happened
 * @param ofRequest whether the event belongs to the request itself; if not, it may explain the
 *     request's events
 * @param description the event in words, with the reasons that the node gave
 * @param line the fields of the log line
 */
public record RequestEvent(
    Instant time, String node, boolean ofRequest, String description, JsonNode line) {

  static RequestEvent of(EventLine line, boolean ofRequest) {
    return new RequestEvent(
        line.time(), line.node(), ofRequest, EventDescription.of(line), line.fields());
  }
}
