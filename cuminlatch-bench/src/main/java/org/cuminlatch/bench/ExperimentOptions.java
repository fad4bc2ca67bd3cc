package org.cuminlatch.bench;

import java.util.Map;

/**
 * Options of one run of an experiment.
 *
 * @param seed seed of all random numbers
 * @param parameters further options by name, as given on the command line by {@code -P name=value}
 */
public record ExperimentOptions(long seed, Map<String, String> parameters) {

  /** Copies the parameters. */
  public ExperimentOptions {
    parameters = Map.copyOf(parameters);
  }

  /**
   * Returns an integer parameter.
   *
   * @param name name of the parameter
   * @param defaultValue value if the parameter is not given
   * @return the value
   * @throws NumberFormatException if the value is not an integer
   */
  public long longValue(String name, long defaultValue) {
    String value = parameters.get(name);
    return value == null ? defaultValue : Long.parseLong(value);
  }

  /**
   * Returns a text parameter.
   *
   * @param name name of the parameter
   * @param defaultValue value if the parameter is not given
   * @return the value
   */
  public String text(String name, String defaultValue) {
    return parameters.getOrDefault(name, defaultValue);
  }
}
