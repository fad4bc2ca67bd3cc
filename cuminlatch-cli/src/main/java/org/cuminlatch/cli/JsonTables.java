package org.cuminlatch.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Converts lists of JSON objects to tables; a missing or empty value is shown as a dash. */
final class JsonTables {

  private static final String MISSING = "-";

  private JsonTables() {}

  /**
   * Creates a table with one row for each object.
   *
   * @param rows the objects
   * @param columns title and field path of each column, as in {@code REGION=locality.region}
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
      return MISSING;
    }
    if (value.isContainerNode()) {
      return value.isEmpty() ? MISSING : join(value);
    }
    String text = value.asText();
    return text.isEmpty() ? MISSING : text;
  }

  private static String join(JsonNode container) {
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
