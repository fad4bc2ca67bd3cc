package org.cuminlatch.core.config;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 (FIPS 180-4) over an encoded state. */
final class StateHash {

  /** Length of a digest in bytes. */
  static final int BYTES = 32;

  private static final int TEXT_BYTES = 16;

  private StateHash() {}

  static byte[] digest(byte[] content) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(content);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every JDK has SHA-256", e);
    }
  }

  /**
   * Returns the hash as text, cut to 128 bits to spare bytes in heartbeats.
   *
   * @param state the encoded state
   * @return hexadecimal digits
   */
  static String text(Bytes state) {
    return HexFormat.of().formatHex(digest(state.toArray()), 0, TEXT_BYTES);
  }
}
