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

/** Reads the keys of one TOML table and says what is wrong with them. */
final class TableReader {

  private final String path;
  private final TomlTable table;

  TableReader(String path, TomlTable table) {
    this.path = path;
    this.table = table;
  }

  String path(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  void allowOnly(Set<String> keys) {
    for (String key : table.keySet()) {
      if (!keys.contains(key)) {
        String wanted = "no such key; known are " + keys.stream().sorted().toList();
        throw InvalidFile.had(path(key), table.get(List.of(key)), wanted);
      }
    }
  }

  String name(String key) {
    String value = text(key).orElseThrow(() -> InvalidFile.missing(path(key), "a name"));
    boolean fits =
        !value.isBlank()
            && value.length() <= RecordEnvelope.MAX_NAME_LENGTH
            && value.chars().noneMatch(Character::isISOControl);
    if (!fits) {
      String wanted = "a name of 1 to " + RecordEnvelope.MAX_NAME_LENGTH + " characters";
      throw InvalidFile.had(path(key), value, wanted);
    }
    return value;
  }

  Optional<String> text(String key) {
    return value(key, String.class, "a text");
  }

  Optional<Boolean> flag(String key) {
    return value(key, Boolean.class, "true or false");
  }

  Optional<Duration> duration(String key) {
    return text(key).map(value -> duration(key, value));
  }

  Duration duration(String key, String value) {
    return Durations.parse(value)
        .orElseThrow(() -> InvalidFile.had(path(key), value, Durations.WANTED));
  }

  OptionalLong wholeNumber(String key, long low, long high) {
    String wanted = "a whole number from " + low + " to " + high;
    Optional<Long> value = value(key, Long.class, wanted);
    if (value.isPresent() && (value.get() < low || value.get() > high)) {
      throw InvalidFile.had(path(key), value.get(), wanted);
    }
    return value.map(OptionalLong::of).orElse(OptionalLong.empty());
  }

  Optional<Double> share(String key) {
    Object found = table.get(List.of(key));
    return found == null ? Optional.empty() : Optional.of(parseShare(path(key), found));
  }

  List<Double> shares(String key) {
    List<Double> shares = new ArrayList<>();
    List<Object> values = list(key, "a list of shares from 0 to 1");
    for (int i = 0; i < values.size(); i++) {
      shares.add(parseShare(path(key) + "[" + (i + 1) + "]", values.get(i)));
    }
    return shares;
  }

  Optional<Set<String>> texts(String key) {
    if (!table.contains(List.of(key))) {
      return Optional.empty();
    }
    List<Object> values = list(key, "a list of texts");
    for (Object value : values) {
      if (!(value instanceof String)) {
        throw InvalidFile.had(path(key), value, "a list of texts");
      }
    }
    return Optional.of(Set.copyOf(values.stream().map(String.class::cast).distinct().toList()));
  }

  Map<String, String> textsByName(String key) {
    Map<String, String> texts = new TreeMap<>();
    Optional<TomlTable> nested = value(key, TomlTable.class, "a table of texts");
    for (String name : nested.map(TomlTable::keySet).orElse(Set.of())) {
      Object value = nested.get().get(List.of(name));
      if (!(value instanceof String)) {
        throw InvalidFile.had(path(key) + "." + name, value, "a text");
      }
      texts.put(name, (String) value);
    }
    return texts;
  }

  Optional<Object> dateTimeOrDuration(String key) {
    Object found = table.get(List.of(key));
    String wanted = "a date-time such as 2026-12-04T18:00:00Z or " + Durations.WANTED;
    if (found == null || found instanceof OffsetDateTime) {
      return Optional.ofNullable(found);
    }
    if (found instanceof String text) {
      Optional<Duration> duration = Durations.parse(text);
      if (duration.isPresent()) {
        return Optional.of(duration.get());
      }
    }
    throw InvalidFile.had(path(key), found, wanted);
  }

  private double parseShare(String where, Object found) {
    double value = found instanceof Number number ? number.doubleValue() : Double.NaN;
    if (!(value >= 0 && value <= 1)) {
      throw InvalidFile.had(where, found, "a number from 0 to 1");
    }
    return value;
  }

  private List<Object> list(String key, String wanted) {
    return value(key, TomlArray.class, wanted).map(TomlArray::toList).orElse(List.of());
  }

  private <T> Optional<T> value(String key, Class<T> type, String wanted) {
    Object found = table.get(List.of(key));
    if (found != null && !type.isInstance(found)) {
      throw InvalidFile.had(path(key), found, wanted);
    }
    return Optional.ofNullable(found).map(type::cast);
  }
}
