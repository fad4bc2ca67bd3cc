package org.cuminlatch.cli.publish;

import java.time.Duration;
import java.time.OffsetDateTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.cuminlatch.core.config.RecordEnvelope;
import org.tomlj.TomlArray;
import org.tomlj.TomlTable;

/** Reads the values of one TOML table and reports invalid ones with their key. */
final class TableReader {

  private final String path;
  private final TomlTable table;

  TableReader(String path, TomlTable table) {
    this.path = path;
    this.table = table;
  }

  String qualify(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  void rejectUnknownKeys(Set<String> knownKeys) {
    for (String key : table.keySet()) {
      if (!knownKeys.contains(key)) {
        String expected = "one of the keys " + knownKeys.stream().sorted().toList();
        throw PublicationErrors.unexpected(qualify(key), table.get(List.of(key)), expected);
      }
    }
  }

  String name(String key) {
    String value = string(key).orElseThrow(() -> PublicationErrors.missing(qualify(key), "a name"));
    boolean valid =
        !value.isBlank()
            && value.length() <= RecordEnvelope.MAX_NAME_LENGTH
            && value.chars().noneMatch(Character::isISOControl);
    if (!valid) {
      String expected = "a name of 1 to " + RecordEnvelope.MAX_NAME_LENGTH + " characters";
      throw PublicationErrors.unexpected(qualify(key), value, expected);
    }
    return value;
  }

  Optional<String> string(String key) {
    return value(key, String.class, "a string");
  }

  Optional<Boolean> bool(String key) {
    return value(key, Boolean.class, "true or false");
  }

  Optional<Duration> duration(String key) {
    return string(key).map(value -> duration(key, value));
  }

  Duration duration(String key, String value) {
    return DurationParser.parse(value)
        .orElseThrow(
            () ->
                PublicationErrors.unexpected(qualify(key), value, DurationParser.EXPECTED_FORMAT));
  }

  OptionalLong integer(String key, long min, long max) {
    String expected = "an integer from " + min + " to " + max;
    Optional<Long> value = value(key, Long.class, expected);
    if (value.isPresent() && (value.get() < min || value.get() > max)) {
      throw PublicationErrors.unexpected(qualify(key), value.get(), expected);
    }
    return value.map(OptionalLong::of).orElse(OptionalLong.empty());
  }

  Optional<Double> share(String key) {
    Object found = table.get(List.of(key));
    return found == null ? Optional.empty() : Optional.of(parseShare(qualify(key), found));
  }

  List<Double> shares(String key) {
    List<Double> shares = new ArrayList<>();
    List<Object> values = array(key, "an array of numbers from 0 to 1");
    for (int i = 0; i < values.size(); i++) {
      shares.add(parseShare(qualify(key) + "[" + (i + 1) + "]", values.get(i)));
    }
    return shares;
  }

  Optional<Set<String>> strings(String key) {
    if (!table.contains(List.of(key))) {
      return Optional.empty();
    }
    List<Object> values = array(key, "an array of strings");
    for (Object value : values) {
      if (!(value instanceof String)) {
        throw PublicationErrors.unexpected(qualify(key), value, "an array of strings");
      }
    }
    return Optional.of(Set.copyOf(values.stream().map(String.class::cast).distinct().toList()));
  }

  Map<String, String> stringMap(String key) {
    Map<String, String> strings = new TreeMap<>();
    Optional<TomlTable> nested = value(key, TomlTable.class, "a table of strings");
    for (String name : nested.map(TomlTable::keySet).orElse(Set.of())) {
      Object value = nested.get().get(List.of(name));
      if (!(value instanceof String)) {
        throw PublicationErrors.unexpected(qualify(key) + "." + name, value, "a string");
      }
      strings.put(name, (String) value);
    }
    return strings;
  }

  Optional<Object> dateTimeOrDuration(String key) {
    Object found = table.get(List.of(key));
    String expected =
        "a date-time such as 2026-12-04T18:00:00Z or " + DurationParser.EXPECTED_FORMAT;
    if (found == null || found instanceof OffsetDateTime) {
      return Optional.ofNullable(found);
    }
    if (found instanceof String string) {
      Optional<Duration> duration = DurationParser.parse(string);
      if (duration.isPresent()) {
        return Optional.of(duration.get());
      }
    }
    throw PublicationErrors.unexpected(qualify(key), found, expected);
  }

  private double parseShare(String location, Object found) {
    double value = found instanceof Number number ? number.doubleValue() : Double.NaN;
    if (!(value >= 0 && value <= 1)) {
      throw PublicationErrors.unexpected(location, found, "a number from 0 to 1");
    }
    return value;
  }

  private List<Object> array(String key, String expected) {
    return value(key, TomlArray.class, expected).map(TomlArray::toList).orElse(List.of());
  }

  private <T> Optional<T> value(String key, Class<T> type, String expected) {
    Object found = table.get(List.of(key));
    if (found != null && !type.isInstance(found)) {
      throw PublicationErrors.unexpected(qualify(key), found, expected);
    }
    return Optional.ofNullable(found).map(type::cast);
  }
}
