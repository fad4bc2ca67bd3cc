package org.cuminlatch.node.json;

import static org.cuminlatch.core.Preconditions.notNull;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ContainerNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Reads documents into trees of {@link JsonNode}s without an {@code ObjectMapper}.
 *
 * <p>The first mapper of a process initializes the JDK's calendars and locale data, which takes a
 * fifth of the processor time that a node needs to start.
 */
public final class JsonTree {

  private static final JsonFactory FACTORY = new JsonFactory();
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private JsonTree() {}

  /**
   * Reads a JSON document.
   *
   * @param json the document
   * @return its root; a missing node if the document is empty
   * @throws IOException if the document is not valid JSON
   */
  public static JsonNode read(byte[] json) throws IOException {
    try (JsonParser parser = FACTORY.createParser(notNull(json, "json"))) {
      return read(parser);
    }
  }

  /**
   * Reads one value.
   *
   * @param parser parser of the document
   * @return the value; a missing node if there is none
   * @throws IOException if the document is not valid
   */
  public static JsonNode read(JsonParser parser) throws IOException {
    JsonToken token = notNull(parser, "parser").nextToken();
    if (token == null) {
      return MissingNode.getInstance();
    }
    JsonNode root = valueOf(token, parser);
    if (root instanceof ContainerNode<?> container) {
      readContents(container, parser);
    }
    return root;
  }

  /** Reads up to the end of a container, without recursion as documents may be nested deeply. */
  private static void readContents(ContainerNode<?> root, JsonParser parser) throws IOException {
    Deque<ContainerNode<?>> open = new ArrayDeque<>();
    open.push(root);
    while (!open.isEmpty()) {
      JsonToken token = parser.nextToken();
      if (token == JsonToken.END_OBJECT || token == JsonToken.END_ARRAY) {
        open.pop();
      } else if (token != JsonToken.FIELD_NAME) {
        JsonNode value = valueOf(token, parser);
        add(open.peek(), parser.currentName(), value);
        if (value instanceof ContainerNode<?> container) {
          open.push(container);
        }
      }
    }
  }

  private static void add(ContainerNode<?> container, String name, JsonNode value) {
    if (container instanceof ObjectNode object) {
      object.set(name, value);
    } else {
      ((ArrayNode) container).add(value);
    }
  }

  private static JsonNode valueOf(JsonToken token, JsonParser parser) throws IOException {
    return switch (token) {
      case START_OBJECT -> NODES.objectNode();
      case START_ARRAY -> NODES.arrayNode();
      case VALUE_STRING -> NODES.textNode(parser.getText());
      case VALUE_NUMBER_INT -> integer(parser);
      case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
      case VALUE_TRUE -> NODES.booleanNode(true);
      case VALUE_FALSE -> NODES.booleanNode(false);
      case VALUE_EMBEDDED_OBJECT -> NODES.textNode(String.valueOf(parser.getEmbeddedObject()));
      default -> NODES.nullNode();
    };
  }

  private static JsonNode integer(JsonParser parser) throws IOException {
    return switch (parser.getNumberType()) {
      case INT -> NODES.numberNode(parser.getIntValue());
      case LONG -> NODES.numberNode(parser.getLongValue());
      default -> NODES.numberNode(parser.getBigIntegerValue());
    };
  }
}
