package org.cuminlatch.cli.request;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;

/**
 * One step in the course of a request.
 *
 * @param time when it happened by the node's clock, which may differ from those of others
 * @param node where it happened
 * @param own whether the line is on the request, not on what was believed meanwhile
 * @param sentence what happened and on what grounds
 * @param line the line itself
 */
public record RequestStep(Instant time, String node, boolean own, String sentence, JsonNode line) {

  static RequestStep of(EventLine line, boolean own) {
    return new RequestStep(line.time(), line.node(), own, Sentence.of(line), line.fields());
  }
}
