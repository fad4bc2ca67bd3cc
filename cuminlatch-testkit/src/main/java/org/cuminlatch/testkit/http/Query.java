package org.cuminlatch.testkit.http;

import static org.cuminlatch.core.Preconditions.notNull;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Query parameters of an HTTP request.
 *
 * @param values value of each parameter by name; the last one if a parameter is repeated
 */
public record Query(Map<String, String> values) {

  /** Copies the values. */
  public Query {
    values = Map.copyOf(notNull(values, "values"));
  }

  /**
   * Parses the query string of a URI.
   *
   * @param rawQuery the undecoded query string, null if there is none
   * @return the parameters
   */
  public static Query parse(String rawQuery) {
    Map<String, String> values = new HashMap<>();
    if (rawQuery != null) {
      for (String pair : rawQuery.split("&")) {
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
   * Returns the value of a parameter.
   *
   * @param name name of the parameter
   * @return its value, empty if the parameter is missing
   */
  public Optional<String> text(String name) {
    return Optional.ofNullable(values.get(name));
  }

  /**
   * Returns the value of an integer parameter.
   *
   * @param name name of the parameter
   * @param defaultValue value to return if the parameter is missing
   * @return the value
   * @throws IllegalArgumentException if the value is not an integer
   */
  public long number(String name, long defaultValue) {
    return text(name).map(Long::parseLong).orElse(defaultValue);
  }
}
