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
 * One table of a TOML file, read with checks.
 *
 * <p>Each failed check throws a {@link CuminlatchException} with {@code INVALID_SETTING} whose
 * message names the key, what it had and what it wants.
 */
public final class TomlSection {

  private final String path;
  private final TomlTable table;
  private final Set<String> read = new HashSet<>();

  private TomlSection(String path, TomlTable table) {
    this.path = path;
    this.table = table;
  }

  /**
   * Reads a file.
   *
   * @param file the TOML file
   * @return its outermost table
   * @throws CuminlatchException with {@code INVALID_SETTING} if it can't be read or is not TOML
   */
  public static TomlSection read(Path file) {
    try {
      return parse(Files.readString(file));
    } catch (IOException unreadable) {
      throw invalidSetting("settings file had " + file + "; it wants a readable TOML file");
    }
  }

  /** Returns the outermost table of a text. */
  static TomlSection parse(String toml) {
    TomlParseResult parsed = Toml.parse(toml);
    if (parsed.hasErrors()) {
      throw invalidSetting("the file is not TOML: " + parsed.errors().get(0));
    }
    return new TomlSection("", parsed);
  }

  /**
   * Returns a table within this one.
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

  boolean has(String key) {
    return table.contains(List.of(key));
  }

  /**
   * Returns a text.
   *
   * @param key its key
   * @return the text, not blank
   */
  public String text(String key) {
    return textOf(key, required(key));
  }

  String text(String key, String fallback) {
    return has(key) ? text(key) : fallback;
  }

  String oneOf(String key, Set<String> allowed, String fallback) {
    String value = text(key, fallback);
    if (allowed.contains(value)) {
      return value;
    }
    throw invalid(key, value, "one of " + new TreeSet<>(allowed));
  }

  int integer(String key, int low, int high) {
    Object value = required(key);
    if (value instanceof Long number && number >= low && number <= high) {
      return number.intValue();
    }
    throw invalid(key, value, "a whole number between " + low + " and " + high);
  }

  int integer(String key, int low, int high, int fallback) {
    return has(key) ? integer(key, low, high) : fallback;
  }

  /**
   * Returns a value that stands in a text.
   *
   * @param key its key
   * @param parser reads it; throws {@link IllegalArgumentException} if it can't
   * @param wanted what it reads, for the message
   * @param <T> type of the value
   * @return the value
   */
  public <T> T parsed(String key, Function<String, T> parser, String wanted) {
    return parsedText(key, text(key), parser, wanted);
  }

  <T> List<T> list(String key, Function<String, T> parser, String wanted) {
    Object value = required(key);
    if (!(value instanceof TomlArray array)) {
      throw invalid(key, value, "a list of " + wanted);
    }
    return IntStream.range(0, array.size())
        .mapToObj(index -> parsedText(key, textOf(key, array.get(index)), parser, wanted))
        .toList();
  }

  List<Integer> integers(String key, int low, int high, List<Integer> fallback) {
    if (!has(key)) {
      return fallback;
    }
    Object value = required(key);
    if (!(value instanceof TomlArray array)) {
      throw invalid(key, value, "a list of whole numbers");
    }
    return array.toList().stream().map(entry -> integerOf(key, entry, low, high)).toList();
  }

  /** Refuses keys that nobody has read. */
  void refuseUnknownKeys() {
    for (String key : new TreeSet<>(table.keySet())) {
      if (!read.contains(key)) {
        throw invalid(
            key, table.get(List.of(key)), "no such key; known are " + new TreeSet<>(read));
      }
    }
  }

  private int integerOf(String key, Object entry, int low, int high) {
    if (entry instanceof Long number && number >= low && number <= high) {
      return number.intValue();
    }
    throw invalid(key, entry, "whole numbers between " + low + " and " + high);
  }

  private Object required(String key) {
    read.add(key);
    Object value = table.get(List.of(key));
    if (value == null) {
      throw invalid(key, "nothing", "a value");
    }
    return value;
  }

  private String textOf(String key, Object value) {
    if (value instanceof String text && !text.isBlank()) {
      return text;
    }
    throw invalid(key, value, "a text that is not blank");
  }

  private <T> T parsedText(String key, String text, Function<String, T> parser, String wanted) {
    try {
      return parser.apply(text);
    } catch (IllegalArgumentException malformed) {
      throw invalid(key, text, wanted);
    }
  }

  private CuminlatchException invalid(String key, Object had, String wanted) {
    String shown = had instanceof TomlTable ? "a table" : String.valueOf(had);
    return invalidSetting(pathOf(key) + " had " + shown + "; it wants " + wanted);
  }

  private static CuminlatchException invalidSetting(String message) {
    return CuminlatchException.of(INVALID_SETTING, Step.SETTINGS, message);
  }

  private String pathOf(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }
}
