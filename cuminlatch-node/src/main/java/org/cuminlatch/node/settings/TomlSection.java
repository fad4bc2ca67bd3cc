package org.cuminlatch.node.settings;

import static org.cuminlatch.core.error.ErrorCode.INVALID_SETTING;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.Step;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/**
 * One table of a TOML file whose values are checked as they are read.
 *
 * <p>Each failed check throws a {@link CuminlatchException} with {@code INVALID_SETTING} whose
 * message names the key, the value found and what was expected.
 */
public final class TomlSection {

  private final String path;
  private final TomlTable table;
  private final Set<String> readKeys = new HashSet<>();

  private TomlSection(String path, TomlTable table) {
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
    TomlParseResult parsed = Toml.parse(toml);
    if (parsed.hasErrors()) {
      throw invalidSetting("settings file: invalid TOML: " + parsed.errors().get(0));
    }
    return new TomlSection("", parsed);
  }

  /**
   * Returns a nested table.
   *
   * @param key its key
   * @return the table
   */
  public TomlSection section(String key) {
    Object value = required(key);
    if (value instanceof TomlTable inner) {
      return new TomlSection(pathOf(key), inner);
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
    return table.contains(List.of(key));
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
    Object value = required(key);
    if (value instanceof Long number && number >= min && number <= max) {
      return number.intValue();
    }
    throw invalid(key, value, "an integer between " + min + " and " + max);
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
    Object value = required(key);
    if (!(value instanceof TomlArray array)) {
      throw invalid(key, value, "an array in which each entry is " + expected);
    }
    return IntStream.range(0, array.size())
        .mapToObj(index -> parsedText(key, nonBlankText(key, array.get(index)), parser, expected))
        .toList();
  }

  List<Integer> integers(String key, int min, int max, List<Integer> defaultValue) {
    if (!has(key)) {
      return defaultValue;
    }
    Object value = required(key);
    if (!(value instanceof TomlArray array)) {
      throw invalid(key, value, "an array of integers");
    }
    return array.toList().stream().map(entry -> integerOf(key, entry, min, max)).toList();
  }

  /** Throws an exception if the table has a key that has not been read. */
  void rejectUnknownKeys() {
    for (String key : new TreeSet<>(table.keySet())) {
      if (!readKeys.contains(key)) {
        throw invalid(key, table.get(List.of(key)), "one of the keys " + new TreeSet<>(readKeys));
      }
    }
  }

  private int integerOf(String key, Object entry, int min, int max) {
    if (entry instanceof Long number && number >= min && number <= max) {
      return number.intValue();
    }
    throw invalid(key, entry, "integers between " + min + " and " + max);
  }

  private Object required(String key) {
    readKeys.add(key);
    Object value = table.get(List.of(key));
    if (value == null) {
      throw invalid(key, "nothing", "a value");
    }
    return value;
  }

  private String nonBlankText(String key, Object value) {
    if (value instanceof String text && !text.isBlank()) {
      return text;
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

  private CuminlatchException invalid(String key, Object found, String expected) {
    String shown = found instanceof TomlTable ? "a table" : String.valueOf(found);
    return invalidSetting(pathOf(key) + ": found " + shown + ", expected " + expected);
  }

  private static CuminlatchException invalidSetting(String message) {
    return CuminlatchException.of(INVALID_SETTING, Step.SETTINGS, message);
  }

  private String pathOf(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }
}
