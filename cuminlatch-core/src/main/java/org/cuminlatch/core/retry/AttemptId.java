package org.cuminlatch.core.retry;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.HexFormat;
import java.util.random.RandomGenerator;

/**
 * Unguessable identifier of one attempt to run a request.
 *
 * @param high upper 64 bits
 * @param low lower 64 bits
 */
public record AttemptId(long high, long low) {

  /**
   * Generates a new identifier.
   *
   * @param random source of randomness; its values must be unguessable
   * @return the identifier
   */
  public static AttemptId next(RandomGenerator random) {
    notNull(random, "random");
    return new AttemptId(random.nextLong(), random.nextLong());
  }

  /**
   * Parses an identifier from the form that {@link #toString()} returns.
   *
   * @param text 32 hexadecimal digits
   * @return the identifier
   * @throws IllegalArgumentException if the text does not consist of 32 hexadecimal digits
   */
  public static AttemptId parse(String text) {
    int digitsPerHalf = Long.BYTES * 2;
    if (text.length() != 2 * digitsPerHalf) {
      throw new IllegalArgumentException("attempt identifier must have 32 hexadecimal digits");
    }
    return new AttemptId(
        HexFormat.fromHexDigitsToLong(text.substring(0, digitsPerHalf)),
        HexFormat.fromHexDigitsToLong(text.substring(digitsPerHalf)));
  }

  @Override
  public String toString() {
    HexFormat format = HexFormat.of();
    return format.toHexDigits(high) + format.toHexDigits(low);
  }
}
