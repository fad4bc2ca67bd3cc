package org.cuminlatch.core.config;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;

/**
 * Frame around an encoded state that makes truncation and corruption detectable: magic bytes,
 * format, length, SHA-256 digest and the state itself.
 */
final class CheckpointFrame {

  private static final byte[] MAGIC = "CLCP".getBytes(StandardCharsets.US_ASCII);
  private static final int FORMAT = 1;
  private static final int HEADER_BYTES = MAGIC.length + 2 * Integer.BYTES + StateHash.BYTES;

  private CheckpointFrame() {}

  static Bytes wrap(Bytes state) {
    byte[] content = state.toArray();
    ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + content.length);
    frame.put(MAGIC).putInt(FORMAT).putInt(content.length);
    frame.put(StateHash.digest(content)).put(content);
    return Bytes.copyOf(frame.array());
  }

  static Bytes unwrap(Bytes checkpoint) {
    ByteBuffer frame = ByteBuffer.wrap(checkpoint.toArray());
    require(frame.remaining() >= HEADER_BYTES, "is truncated at " + frame.remaining() + " bytes");
    byte[] magic = new byte[MAGIC.length];
    frame.get(magic);
    require(Arrays.equals(magic, MAGIC), "does not start with the magic bytes of a checkpoint");
    int format = frame.getInt();
    require(format == FORMAT, "has format " + format + ", expected " + FORMAT);
    int length = frame.getInt();
    byte[] digest = new byte[StateHash.BYTES];
    frame.get(digest);
    require(
        length == frame.remaining(), "holds " + frame.remaining() + " bytes, expected " + length);
    byte[] content = new byte[length];
    frame.get(content);
    require(Arrays.equals(digest, StateHash.digest(content)), "does not match its SHA-256 digest");
    return Bytes.copyOf(content);
  }

  private static void require(boolean condition, String problem) {
    if (!condition) {
      throw CuminlatchException.of(
          ErrorCode.INVALID_CHECKPOINT, Step.CHECKPOINT, "checkpoint " + problem);
    }
  }
}
