package org.cuminlatch.core.hash;

import static org.cuminlatch.core.Preconditions.notNull;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * 64-bit hash of texts, the same on every node and in every release.
 *
 * <p>Source: MurmurHash3 by Austin Appleby, the first half of its 128-bit variant for 64-bit
 * machines.
 */
public final class StableHash {

  private static final char SEPARATOR = '\0';

  private StableHash() {}

  /**
   * Hashes a text.
   *
   * @param text the text
   * @return the hash
   */
  public static long of(String text) {
    notNull(text, "text");
    return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
  }

  /**
   * Hashes two texts, so that moving a character from one to the other changes the hash.
   *
   * @param first the first text
   * @param second the second text
   * @return the hash
   */
  public static long of(String first, String second) {
    return of(notNull(first, "first") + SEPARATOR + notNull(second, "second"));
  }
}
