package org.cuminlatch.node.http;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/**
 * The part of a body that has been received, in segments whose sizes are reserved in a budget; used
 * on one event loop.
 */
final class BodyBuffer {

  /** Largest body that is small: that of a photo upload is 60 KB on average. */
  static final int MAX_SMALL_BYTES = 256 * 1024;

  private static final int MIN_SEGMENT_BYTES = 1024;
  private static final int MAX_SEGMENT_BYTES = 64 * 1024;

  private final BodyBudget budget;

  /** Length that the head names, negative if the body is chunked. */
  private final long declaredBytes;

  private final List<byte[]> segments = new ArrayList<>();
  private int lastSegmentBytes;
  private int length;
  private int reserved;

  BodyBuffer(BodyBudget budget, long declaredBytes) {
    this.budget = budget;
    this.declaredBytes = declaredBytes;
  }

  /**
   * Appends a part of the body, which is read.
   *
   * @return false if the budget has no room for it; nothing is read then
   */
  boolean tryAppend(ByteBuf part) {
    int free = segments.isEmpty() ? 0 : lastSegment().length - lastSegmentBytes;
    int missing = part.readableBytes() - free;
    if (missing <= 0) {
      fillLastSegment(part, part.readableBytes());
      return true;
    }
    int segmentBytes = Math.max(missing, nextSegmentBytes());
    if (!tryReserve(segmentBytes)) {
      return false;
    }
    fillLastSegment(part, free);
    segments.add(new byte[segmentBytes]);
    lastSegmentBytes = 0;
    fillLastSegment(part, missing);
    return true;
  }

  /** Returns the size of the next segment: the received length, within bounds. */
  private int nextSegmentBytes() {
    int bytes = Math.max(MIN_SEGMENT_BYTES, Math.min(MAX_SEGMENT_BYTES, length));
    return declaredBytes < 0 ? bytes : (int) Math.min(bytes, Math.max(0, declaredBytes - reserved));
  }

  private boolean tryReserve(int bytes) {
    boolean done =
        declaredBytes > MAX_SMALL_BYTES || reserved + bytes > MAX_SMALL_BYTES
            ? budget.tryReserve(bytes)
            : budget.tryReserveSmall(bytes);
    reserved += done ? bytes : 0;
    return done;
  }

  private byte[] lastSegment() {
    return segments.get(segments.size() - 1);
  }

  private void fillLastSegment(ByteBuf part, int bytes) {
    if (bytes > 0) {
      part.readBytes(lastSegment(), lastSegmentBytes, bytes);
      lastSegmentBytes += bytes;
      length += bytes;
    }
  }

  /** Returns the number of bytes received. */
  int length() {
    return length;
  }

  /** Returns the number of bytes that this buffer has reserved. */
  int reserved() {
    return reserved;
  }

  /** Returns the body in one piece, and reserves no more than that from now on. */
  byte[] complete() {
    budget.release(reserved - length);
    reserved = length;
    if (segments.size() == 1 && lastSegment().length == length) {
      return lastSegment();
    }
    byte[] bytes = new byte[length];
    int position = 0;
    for (byte[] segment : segments) {
      int used = Math.min(segment.length, length - position);
      System.arraycopy(segment, 0, bytes, position, used);
      position += used;
    }
    segments.clear();
    return bytes;
  }

  /** Gives up the body. */
  void discard() {
    budget.release(reserved);
    reserved = 0;
    segments.clear();
  }
}
