package org.cuminlatch.core;

/** Checks of arguments whose messages name the parameter. */
public final class Preconditions {

  private Preconditions() {}

  /**
   * Requires a value to be present.
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
   * Requires a text to be present and not blank.
   *
   * @param value the text
   * @param name name of the parameter
   * @return the text
   * @throws IllegalArgumentException if the text is null or blank
   */
  public static String notBlank(String value, String name) {
    check(value != null && !value.isBlank(), name, "must not be null or blank");
    return value;
  }

  /**
   * Requires a number to be zero or more.
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
   * @param low smallest allowed value
   * @param high largest allowed value
   * @param name name of the parameter
   * @return the number
   * @throws IllegalArgumentException if the number is out of bounds
   */
  public static double inRange(double value, double low, double high, String name) {
    check(value >= low && value <= high, name, "must be between " + low + " and " + high);
    return value;
  }

  /**
   * Requires a condition on a parameter to hold.
   *
   * @param holds whether the condition holds
   * @param name name of the parameter
   * @param condition what must hold, as in "must not be empty"
   * @throws IllegalArgumentException if the condition does not hold
   */
  public static void check(boolean holds, String name, String condition) {
    if (!holds) {
      throw new IllegalArgumentException(name + " " + condition);
    }
  }
}
