package org.cuminlatch.core.retry;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.HexFormat;
import java.util.random.RandomGenerator;

/**
 * Unguessable identity of one attempt to run a request.
 *
 * @param high upper 64 bits
 * @param low lower 64 bits
 */
public record AttemptId(long high, long low) {

  /**
   * Draws a new identity.
   *
   * @param random source of unguessable numbers
   * @return the identity
   */
  public static AttemptId next(RandomGenerator random) {
    notNull(random, "random");
    return new AttemptId(random.nextLong(), random.nextLong());
  }

  /**
   * Parses the form that {@link #toString()} returns.
   *
   * @param text 32 hexadecimal digits
   * @return the identity
   * @throws IllegalArgumentException if the text has another form
   */
  public static AttemptId parse(String text) {
    int half = Long.BYTES * 2;
    if (text.length() != 2 * half) {
      throw new IllegalArgumentException("attempt must have 32 hexadecimal digits");
    }
    return new AttemptId(
        HexFormat.fromHexDigitsToLong(text.substring(0, half)),
        HexFormat.fromHexDigitsToLong(text.substring(half)));
  }

  @Override
  public String toString() {
    HexFormat format = HexFormat.of();
    return format.toHexDigits(high) + format.toHexDigits(low);
  }
}
