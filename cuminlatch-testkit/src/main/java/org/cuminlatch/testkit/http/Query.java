package org.cuminlatch.testkit.http;

import static org.cuminlatch.core.Preconditions.notNull;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Parameters of a request's query string.
 *
 * @param values the last value of each parameter by name
 */
public record Query(Map<String, String> values) {

  /** Copies the values. */
  public Query {
    values = Map.copyOf(notNull(values, "values"));
  }

  /**
   * Parses the part of a URI after the question mark.
   *
   * @param raw the undecoded query, null if there is none
   * @return the parameters
   */
  public static Query parse(String raw) {
    Map<String, String> values = new HashMap<>();
    if (raw != null) {
      for (String pair : raw.split("&")) {
        int equals = pair.indexOf('=');
        String name = equals < 0 ? pair : pair.substring(0, equals);
        String value = equals < 0 ? "" : pair.substring(equals + 1);
        values.put(decode(name), decode(value));
      }
    }
    return new Query(values);
  }

  private static String decode(String text) {
    return URLDecoder.decode(text, StandardCharsets.UTF_8);
  }

  /**
   * Returns a parameter.
   *
   * @param name name of the parameter
   * @return its value, empty if it is not given
   */
  public Optional<String> text(String name) {
    return Optional.ofNullable(values.get(name));
  }

  /**
   * Returns a whole-number parameter.
   *
   * @param name name of the parameter
   * @param fallback value if it is not given
   * @return the value
   * @throws IllegalArgumentException if the value is not a whole number
   */
  public long number(String name, long fallback) {
    return text(name).map(Long::parseLong).orElse(fallback);
  }
}
