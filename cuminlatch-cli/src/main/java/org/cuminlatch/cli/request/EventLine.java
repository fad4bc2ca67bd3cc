package org.cuminlatch.cli.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.Optional;

/**
 * A line of a node's event log.
 *
 * @param time when the node wrote the line, by its own clock
 * @param node name of the node that wrote the line
 * @param event name of the event
 * @param fields all fields of the line, including the three above
 */
record EventLine(Instant time, String node, String event, JsonNode fields) {

  private static final ObjectMapper JSON = new ObjectMapper();

  /**
   * Parses a line, skipping any prefix that a log collector put before the JSON. Returns empty if
   * the line holds no event or no valid time.
   */
  static Optional<EventLine> parse(String text) {
    int start = text.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    try {
      JsonNode fields = JSON.readTree(text.substring(start));
      if (!fields.path("event").isTextual()) {
        return Optional.empty();
      }
      Instant time = Instant.parse(fields.path("time").asText());
      return Optional.of(
          new EventLine(
              time, fields.path("node").asText("-"), fields.path("event").asText(), fields));
    } catch (JsonProcessingException | DateTimeException unreadable) {
      return Optional.empty();
    }
  }

  /** Returns a field as text, or a dash if the line does not have it. */
  String text(String field) {
    return fields.path(field).asText("-");
  }

  boolean belongsTo(String request) {
    return text("request").equals(request);
  }
}
