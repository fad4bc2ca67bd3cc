package org.cuminlatch.core.hash;

import static org.cuminlatch.core.Preconditions.notNull;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * 64-bit hash of strings that is the same on every node and in every release.
 *
 * <p>Source: MurmurHash3 by Austin Appleby, the first half of its 128-bit variant for 64-bit
 * machines.
 */
public final class StableHash {

  private static final char SEPARATOR = '\0';

  private StableHash() {}

  /**
   * Hashes a string.
   *
   * @param text the string
   * @return the hash
   */
  public static long of(String text) {
    notNull(text, "text");
    return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
  }

  /**
   * Hashes two strings so that moving a character from one to the other changes the hash.
   *
   * @param first the first string
   * @param second the second string
   * @return the hash
   */
  public static long of(String first, String second) {
    return of(notNull(first, "first") + SEPARATOR + notNull(second, "second"));
  }
}
