package org.cuminlatch.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Turns lists of JSON objects into tables; what a node does not say is shown as a dash. */
final class JsonTables {

  private static final String NONE = "-";

  private JsonTables() {}

  /**
   * Creates a table with a row for each object.
   *
   * @param rows the objects
   * @param columns titles and the paths of the fields below them, as in {@code
   *     REGION=locality.region}
   * @return the table
   */
  static TextTable of(List<JsonNode> rows, String... columns) {
    String[] titles = new String[columns.length];
    for (int i = 0; i < columns.length; i++) {
      titles[i] = columns[i].split("=", 2)[0];
    }
    TextTable table = new TextTable(titles);
    for (JsonNode row : rows) {
      Object[] cells = new Object[columns.length];
      for (int i = 0; i < columns.length; i++) {
        cells[i] = text(at(row, columns[i].split("=", 2)[1]));
      }
      table.row(cells);
    }
    return table;
  }

  /**
   * Returns the elements of a list or the values of an object.
   *
   * @param node a list or an object
   * @return the elements in order
   */
  static List<JsonNode> elements(JsonNode node) {
    List<JsonNode> elements = new ArrayList<>();
    node.forEach(elements::add);
    return elements;
  }

  static JsonNode at(JsonNode node, String path) {
    JsonNode found = node;
    for (String field : path.split("\\.")) {
      found = found.path(field);
    }
    return found;
  }

  static String text(JsonNode value) {
    if (value.isMissingNode() || value.isNull()) {
      return NONE;
    }
    if (value.isContainerNode()) {
      return value.isEmpty() ? NONE : joined(value);
    }
    String text = value.asText();
    return text.isEmpty() ? NONE : text;
  }

  private static String joined(JsonNode container) {
    List<String> parts = new ArrayList<>();
    if (container.isArray()) {
      container.forEach(element -> parts.add(text(element)));
    } else {
      for (Map.Entry<String, JsonNode> field : container.properties()) {
        parts.add(field.getKey() + "=" + text(field.getValue()));
      }
    }
    return String.join(",", parts);
  }
}
