package org.cuminlatch.node.settings;

import static org.cuminlatch.core.error.ErrorCode.INVALID_SETTING;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.Step;
import org.cuminlatch.node.json.JsonTree;

/**
 * One table of a TOML file whose values are checked as they are read.
 *
 * <p>Each failed check throws a {@link CuminlatchException} with {@code INVALID_SETTING} whose
 * message names the key, the value found and what was expected.
 */
public final class TomlSection {

  private final String path;
  private final JsonNode table;
  private final Set<String> readKeys = new HashSet<>();

  private TomlSection(String path, JsonNode table) {
    this.path = path;
    this.table = table;
  }

  /**
   * Reads a file.
   *
   * @param file the TOML file
   * @return the root table
   * @throws CuminlatchException with {@code INVALID_SETTING} if it can't be read or is not valid
   *     TOML
   */
  public static TomlSection read(Path file) {
    try {
      return parse(Files.readString(file));
    } catch (IOException unreadable) {
      throw invalidSetting("settings file: found " + file + ", expected a readable TOML file");
    }
  }

  /** Returns the root table of a TOML document. */
  static TomlSection parse(String toml) {
    try (JsonParser parser = new TomlFactory().createParser(toml)) {
      return new TomlSection("", JsonTree.read(parser));
    } catch (JsonProcessingException invalid) {
      throw invalidSetting(
          "settings file: invalid TOML: "
              + invalid.getOriginalMessage()
              + " in line "
              + invalid.getLocation().getLineNr());
    } catch (IOException unreadable) {
      throw new UncheckedIOException(unreadable);
    }
  }

  /**
   * Returns a nested table.
   *
   * @param key its key
   * @return the table
   */
  public TomlSection section(String key) {
    JsonNode value = required(key);
    if (value.isObject()) {
      return new TomlSection(pathOf(key), value);
    }
    throw invalid(key, value, "a table");
  }

  /**
   * Returns whether the table has a value.
   *
   * @param key its key
   * @return true if it has
   */
  public boolean has(String key) {
    return table.has(key);
  }

  /**
   * Returns a string.
   *
   * @param key its key
   * @return the string, not blank
   */
  public String text(String key) {
    return nonBlankText(key, required(key));
  }

  String text(String key, String defaultValue) {
    return has(key) ? text(key) : defaultValue;
  }

  String oneOf(String key, Set<String> allowed, String defaultValue) {
    String value = text(key, defaultValue);
    if (allowed.contains(value)) {
      return value;
    }
    throw invalid(key, value, "one of " + new TreeSet<>(allowed));
  }

  int integer(String key, int min, int max) {
    return integerOf(key, required(key), min, max, "an integer between ");
  }

  int integer(String key, int min, int max, int defaultValue) {
    return has(key) ? integer(key, min, max) : defaultValue;
  }

  /**
   * Returns the value that a parser reads from a string.
   *
   * @param key its key
   * @param parser parses the string; throws {@link IllegalArgumentException} if it is invalid
   * @param expected description of a valid value for the error message
   * @param <T> type of the value
   * @return the value
   */
  public <T> T parsed(String key, Function<String, T> parser, String expected) {
    return parsedText(key, text(key), parser, expected);
  }

  <T> List<T> list(String key, Function<String, T> parser, String expected) {
    JsonNode value = required(key);
    if (!value.isArray()) {
      throw invalid(key, value, "an array in which each entry is " + expected);
    }
    return entries(value)
        .map(entry -> parsedText(key, nonBlankText(key, entry), parser, expected))
        .toList();
  }

  List<Integer> integers(String key, int min, int max, List<Integer> defaultValue) {
    if (!has(key)) {
      return defaultValue;
    }
    JsonNode value = required(key);
    if (!value.isArray()) {
      throw invalid(key, value, "an array of integers");
    }
    return entries(value)
        .map(entry -> integerOf(key, entry, min, max, "integers between "))
        .toList();
  }

  private static Stream<JsonNode> entries(JsonNode array) {
    return StreamSupport.stream(array.spliterator(), false);
  }

  /** Throws an exception if the table has a key that has not been read. */
  void rejectUnknownKeys() {
    Set<String> keys = new TreeSet<>();
    table.fieldNames().forEachRemaining(keys::add);
    for (String key : keys) {
      if (!readKeys.contains(key)) {
        throw invalid(key, table.get(key), "one of the keys " + new TreeSet<>(readKeys));
      }
    }
  }

  private int integerOf(String key, JsonNode value, int min, int max, String expected) {
    boolean isLong = value.isIntegralNumber() && value.canConvertToLong();
    if (isLong && value.longValue() >= min && value.longValue() <= max) {
      return value.intValue();
    }
    throw invalid(key, value, expected + min + " and " + max);
  }

  private JsonNode required(String key) {
    readKeys.add(key);
    JsonNode value = table.get(key);
    if (value == null) {
      throw invalid(key, "nothing", "a value");
    }
    return value;
  }

  private String nonBlankText(String key, JsonNode value) {
    if (value.isTextual() && !value.textValue().isBlank()) {
      return value.textValue();
    }
    throw invalid(key, value, "a string that is not blank");
  }

  private <T> T parsedText(String key, String text, Function<String, T> parser, String expected) {
    try {
      return parser.apply(text);
    } catch (IllegalArgumentException malformed) {
      throw invalid(key, text, expected);
    }
  }

  private CuminlatchException invalid(String key, JsonNode found, String expected) {
    return invalid(key, found.isContainerNode() ? kind(found) : found.asText(), expected);
  }

  private CuminlatchException invalid(String key, String found, String expected) {
    return invalidSetting(pathOf(key) + ": found " + found + ", expected " + expected);
  }

  private static String kind(JsonNode container) {
    return container.isObject() ? "a table" : "an array";
  }

  private static CuminlatchException invalidSetting(String message) {
    return CuminlatchException.of(INVALID_SETTING, Step.SETTINGS, message);
  }

  private String pathOf(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }
}
