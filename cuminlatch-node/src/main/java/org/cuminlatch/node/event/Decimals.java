package org.cuminlatch.node.event;

/** Formats decimal numbers, without the locale data that {@link String#format} loads. */
public final class Decimals {

  private static final long UNITS = 1000;

  private Decimals() {}

  /**
   * Formats a number with three decimals, rounded.
   *
   * @param value number of magnitude less than 10^15
   * @return the decimal number
   */
  public static String withThreePlaces(double value) {
    long units = Math.round(Math.abs(value) * UNITS);
    String sign = value < 0 && units > 0 ? "-" : "";
    String fraction = Long.toString(UNITS + units % UNITS).substring(1);
    return sign + units / UNITS + '.' + fraction;
  }
}
