package org.cuminlatch.core.config;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Hash over a state: SHA-256 (FIPS 180-4) over its parts, each prefixed with its length. */
final class StateHash {

  /** Length of a digest in bytes. */
  static final int BYTES = 32;

  private static final int TRUNCATED_BYTES = 16;

  private final MessageDigest digest = sha256();

  static byte[] digest(byte[] content) {
    return sha256().digest(content);
  }

  void add(long number) {
    digest.update(ByteBuffer.allocate(Long.BYTES).putLong(0, number));
  }

  void add(byte[] part) {
    add(part.length);
    digest.update(part);
  }

  void add(String part) {
    add(part.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Returns the hash in hexadecimal, truncated to 128 bits to save bytes in heartbeats.
   *
   * @return hexadecimal digits
   */
  String toHex() {
    return HexFormat.of().formatHex(digest.digest(), 0, TRUNCATED_BYTES);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available, but every JDK must provide it", e);
    }
  }
}
