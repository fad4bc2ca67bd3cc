package org.cuminlatch.core;

/** Argument checks whose messages name the parameter. */
public final class Preconditions {

  private Preconditions() {}

  /**
   * Requires a value not to be null.
   *
   * @param value the value
   * @param name name of the parameter
   * @param <T> type of the value
   * @return the value
   * @throws IllegalArgumentException if the value is null
   */
  public static <T> T notNull(T value, String name) {
    check(value != null, name, "must not be null");
    return value;
  }

  /**
   * Requires a string to be neither null nor blank.
   *
   * @param value the string
   * @param name name of the parameter
   * @return the string
   * @throws IllegalArgumentException if the string is null or blank
   */
  public static String notBlank(String value, String name) {
    check(value != null && !value.isBlank(), name, "must not be null or blank");
    return value;
  }

  /**
   * Requires a number not to be negative.
   *
   * @param value the number
   * @param name name of the parameter
   * @return the number
   * @throws IllegalArgumentException if the number is negative
   */
  public static long notNegative(long value, String name) {
    check(value >= 0, name, "must not be negative");
    return value;
  }

  /**
   * Requires a number to lie within bounds.
   *
   * @param value the number
   * @param min smallest allowed value
   * @param max largest allowed value
   * @param name name of the parameter
   * @return the number
   * @throws IllegalArgumentException if the number is out of bounds
   */
  public static double inRange(double value, double min, double max, String name) {
    check(value >= min && value <= max, name, "must be between " + min + " and " + max);
    return value;
  }

  /**
   * Requires a condition on a parameter to be met.
   *
   * @param isMet whether the condition is met
   * @param name name of the parameter
   * @param condition the condition, as in "must not be empty"
   * @throws IllegalArgumentException if the condition is not met
   */
  public static void check(boolean isMet, String name, String condition) {
    if (!isMet) {
      throw new IllegalArgumentException(name + " " + condition);
    }
  }
}
