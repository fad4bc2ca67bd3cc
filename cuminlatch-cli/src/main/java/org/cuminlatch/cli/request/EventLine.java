package org.cuminlatch.cli.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.Optional;

/**
 * A line of a node's log.
 *
 * @param time when it was written
 * @param node who wrote it
 * @param event what happened
 * @param fields all of the line
 */
record EventLine(Instant time, String node, String event, JsonNode fields) {

  private static final ObjectMapper JSON = new ObjectMapper();

  /**
   * Reads a line; what collectors put before the JSON is skipped. Empty if it holds no event with
   * its time.
   */
  static Optional<EventLine> read(String text) {
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

  /** Returns a field as text, a dash if the line lacks it. */
  String text(String field) {
    return fields.path(field).asText("-");
  }

  boolean isAbout(String request) {
    return text("request").equals(request);
  }
}
