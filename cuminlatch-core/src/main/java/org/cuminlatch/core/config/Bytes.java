package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Arrays;

/** Immutable sequence of bytes with value equality. */
public final class Bytes {

  private final byte[] content;

  private Bytes(byte[] content) {
    this.content = content;
  }

  /**
   * Creates a sequence from a copy of an array.
   *
   * @param content the array
   * @return the sequence
   */
  public static Bytes copyOf(byte[] content) {
    return new Bytes(notNull(content, "content").clone());
  }

  /**
   * Returns the number of bytes.
   *
   * @return the length in bytes
   */
  public int length() {
    return content.length;
  }

  /**
   * Returns a copy of the bytes.
   *
   * @return a new array
   */
  public byte[] toArray() {
    return content.clone();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Bytes that && Arrays.equals(content, that.content);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(content);
  }

  @Override
  public String toString() {
    return "Bytes[" + content.length + "]";
  }
}
