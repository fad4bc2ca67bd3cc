package org.cuminlatch.node.http;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/**
 * The part of a body that has been received, in segments whose sizes are reserved in a budget; used
 * on one event loop.
 */
final class BodyBuffer {

  /** Largest body that is small: uploads of photos are at most 360 KB. */
  static final int MAX_SMALL_BYTES = 512 * 1024;

  private static final int MIN_SEGMENT_BYTES = 1024;
  private static final int MAX_SEGMENT_BYTES = 64 * 1024;

  private final BodyBudget budget;

  /** Length that the head names, negative if the body is chunked. */
  private final long declaredBytes;

  private final List<byte[]> segments = new ArrayList<>();
  private int lastSegmentBytes;
  private int length;
  private int reserved;
  private boolean oversized;

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
      segmentBytes = missing; // the last room of the budget may be shorter than a segment
      if (!tryReserve(segmentBytes)) {
        return tryBeginOversized(missing) && tryAppend(part);
      }
    }
    fillLastSegment(part, free);
    segments.add(new byte[segmentBytes]);
    lastSegmentBytes = 0;
    fillLastSegment(part, missing);
    return true;
  }

  /**
   * Goes on as the oversized body of the process, if this one does not fit otherwise. Its length is
   * reserved at once if it is known, and its only segment then needs no copy in the end.
   */
  private boolean tryBeginOversized(int missing) {
    if (oversized || !budget.isOversized(reserved + (long) missing)) {
      return false;
    }
    int rest = declaredBytes < 0 ? 0 : (int) (declaredBytes - reserved);
    if (!budget.tryBeginOversized(reserved)) {
      return false;
    }
    oversized = true;
    if (!budget.tryReserveOversized(rest)) {
      return false; // it waits as the oversized body, and is refused for that
    }
    if (declaredBytes >= 0) {
      byte[] whole = join((int) declaredBytes);
      segments.clear();
      segments.add(whole);
      lastSegmentBytes = length;
      reserved = whole.length;
    }
    return true;
  }

  /** Returns the size of the next segment: the received length, within bounds. */
  private int nextSegmentBytes() {
    int bytes = Math.max(MIN_SEGMENT_BYTES, Math.min(MAX_SEGMENT_BYTES, length));
    return declaredBytes < 0 ? bytes : (int) Math.min(bytes, Math.max(0, declaredBytes - reserved));
  }

  private boolean tryReserve(int bytes) {
    boolean large = declaredBytes > MAX_SMALL_BYTES || reserved + bytes > MAX_SMALL_BYTES;
    boolean done =
        oversized
            ? budget.tryReserveOversized(bytes)
            : large ? budget.tryReserve(bytes) : budget.tryReserveSmall(bytes);
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

  /** Returns the number of bytes that this buffer has reserved, 0 if it is oversized. */
  int reserved() {
    return oversized ? 0 : reserved;
  }

  /** Returns whether this buffer holds the oversized body of the process. */
  boolean isOversized() {
    return oversized;
  }

  /** Returns the body in one piece, and reserves no more than that from now on. */
  byte[] complete() {
    if (!oversized) {
      budget.release(reserved - length);
      reserved = length;
    }
    if (segments.size() == 1 && lastSegment().length == length) {
      return lastSegment();
    }
    byte[] bytes = join(length);
    segments.clear();
    return bytes;
  }

  private byte[] join(int arrayLength) {
    byte[] bytes = new byte[arrayLength];
    int position = 0;
    for (byte[] segment : segments) {
      int used = Math.min(segment.length, length - position);
      System.arraycopy(segment, 0, bytes, position, used);
      position += used;
    }
    return bytes;
  }

  /** Gives up the body. */
  void discard() {
    if (oversized) {
      budget.releaseOversized();
    } else {
      budget.release(reserved);
    }
    oversized = false;
    reserved = 0;
    segments.clear();
  }
}
