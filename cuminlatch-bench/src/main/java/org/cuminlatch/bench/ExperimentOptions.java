package org.cuminlatch.bench;

import java.util.Map;

/**
 * Options of a run.
 *
 * @param seed seed of all random choices
 * @param parameters further options by name, as given on the command line by {@code -P name=value}
 */
public record ExperimentOptions(long seed, Map<String, String> parameters) {

  /** Copies the parameters. */
  public ExperimentOptions {
    parameters = Map.copyOf(parameters);
  }

  /**
   * Returns a whole-number parameter.
   *
   * @param name name of the parameter
   * @param fallback value if it is not given
   * @return the value
   */
  public long longValue(String name, long fallback) {
    String value = parameters.get(name);
    return value == null ? fallback : Long.parseLong(value);
  }

  /**
   * Returns a text parameter.
   *
   * @param name name of the parameter
   * @param fallback value if it is not given
   * @return the value
   */
  public String text(String name, String fallback) {
    return parameters.getOrDefault(name, fallback);
  }
}
