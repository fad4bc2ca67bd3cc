package org.cuminlatch.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * One move as shown on a node's page of moves.
 *
 * @param name name of the move
 * @param state the move, its stop request and its outcome
 * @param progress latest progress, a missing JSON node if none is reported
 */
record MoveView(String name, JsonNode state, JsonNode progress) {

  /**
   * Reads all moves of a page.
   *
   * @param page the page
   * @return the moves in order
   */
  static List<MoveView> of(JsonNode page) {
    List<MoveView> views = new ArrayList<>();
    for (JsonNode state : page.path("moves")) {
      String name = JsonTables.text(JsonTables.at(state, "move.name"));
      views.add(new MoveView(name, state, progressOf(page, name)));
    }
    return views;
  }

  /**
   * Finds a move.
   *
   * @param page the page
   * @param name name of the move
   * @return the move, empty if the page has none of that name
   */
  static Optional<MoveView> find(JsonNode page, String name) {
    return of(page).stream().filter(view -> view.name.equals(name)).findFirst();
  }

  /**
   * Returns the result of the move.
   *
   * @return {@code DONE} or {@code ROLLED_BACK}, empty while it is open
   */
  Optional<String> result() {
    JsonNode result = JsonTables.at(state, "outcome.result");
    return result.isTextual() ? Optional.of(result.asText()) : Optional.empty();
  }

  /**
   * Returns the outcome or the progress of the move in one line.
   *
   * @return the line, which is unchanged until the outcome or the progress changes
   */
  String summary() {
    if (result().isPresent()) {
      return result().get() + ": " + text("state", "outcome.reason");
    }
    String stopRequest = JsonTables.at(state, "stop.reason").isTextual() ? ", stop requested" : "";
    if (progress.isMissingNode()) {
      return "open, no progress reported" + stopRequest;
    }
    return "step %s of %s, share %s%s: %s"
        .formatted(
            stepNumber(),
            text("progress", "steps"),
            text("progress", "share"),
            stopRequest,
            text("progress", "reason"));
  }

  /**
   * Returns the cells of the row for the move.
   *
   * @return the cells in the order of the columns
   */
  Object[] row() {
    return new Object[] {
      name,
      text("state", "move.service"),
      text("state", "move.route"),
      text("state", "move.from"),
      text("state", "move.to"),
      text("state", "move.deadline"),
      result().orElse("open"),
      summary()
    };
  }

  ObjectNode json() {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("name", name);
    node.set("state", state);
    if (!progress.isMissingNode()) {
      node.set("progress", progress);
    }
    return node;
  }

  private String stepNumber() {
    JsonNode step = progress.path("step");
    return step.isInt() ? String.valueOf(step.asInt() + 1) : "-";
  }

  private String text(String part, String path) {
    return JsonTables.text(JsonTables.at(part.equals("state") ? state : progress, path));
  }

  private static JsonNode progressOf(JsonNode page, String name) {
    for (JsonNode progress : page.path("progress")) {
      if (progress.path("move").asText().equals(name)) {
        return progress;
      }
    }
    return JsonNodeFactory.instance.missingNode();
  }
}
