package org.cuminlatch.node.http;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Body of a request that is received in parts: holds what has been read and not yet been delivered,
 * and delivers it as far as its receiver has granted credit.
 */
final class StreamedBody {

  /**
   * Number of undelivered bytes at which reading pauses. A close by the caller is only seen while
   * its connection is read. With more than {@link HttpServer#STREAMED_BODY_BYTES}, bodies that are
   * a little larger than that are read to their end while their request waits for a slot.
   */
  private static final int MAX_UNREAD_BYTES = HttpServer.STREAMED_BODY_BYTES + 128 * 1024;

  /**
   * Bytes that are counted for a body that is received in parts: what is undelivered, with one read
   * beyond the limit, and what is on its way to the target.
   */
  static final int MAX_BYTES_HELD = 512 * 1024;

  /** Maximum size of a delivered part; small ones are joined to save frames. */
  private static final int MAX_PART_BYTES = 64 * 1024;

  private final Deque<byte[]> unread = new ArrayDeque<>();

  /** Number of bytes of the first unread array that have been delivered. */
  private int offset;

  private long unreadBytes;
  private long receivedBytes;
  private long credit;
  private BodyReceiver receiver;
  private boolean ended;
  private boolean lastDelivered;
  private boolean aborted;
  private boolean discarding;

  StreamedBody(byte[] received) {
    add(received);
  }

  /** Adds bytes that were received, without delivering them yet. */
  void add(byte[] content) {
    receivedBytes += content.length;
    if (content.length > 0 && !discarding && !aborted) {
      unread.add(content);
      unreadBytes += content.length;
    }
  }

  /** Marks the end of the body. */
  void end() {
    ended = true;
  }

  boolean isEnded() {
    return ended;
  }

  long receivedBytes() {
    return receivedBytes;
  }

  /** Returns whether the caller's connection should be read further. */
  boolean acceptsMore() {
    return discarding || unreadBytes < MAX_UNREAD_BYTES;
  }

  void setReceiver(BodyReceiver newReceiver) {
    receiver = newReceiver;
  }

  void grantCredit(int bytes) {
    credit += bytes;
  }

  boolean isDiscarding() {
    return discarding;
  }

  boolean hasReceiver() {
    return receiver != null;
  }

  /** Drops what was not delivered and what is received from now on. */
  void discard() {
    discarding = true;
    unread.clear();
    unreadBytes = 0;
  }

  /** Ends the body before its last part. */
  void abort() {
    final boolean notify = !aborted && !lastDelivered && !discarding && receiver != null;
    aborted = true;
    unread.clear();
    unreadBytes = 0;
    if (notify) {
      receiver.onAborted();
    }
  }

  /** Delivers what has been read, as far as the credit allows. */
  void deliver() {
    while (receiver != null && !aborted && !discarding && !lastDelivered) {
      int length = (int) Math.min(Math.min(unreadBytes, credit), MAX_PART_BYTES);
      boolean last = ended && length == unreadBytes;
      if (length == 0 && !last) {
        return;
      }
      byte[] part = take(length);
      lastDelivered = last;
      receiver.onPart(part, last);
    }
  }

  private byte[] take(int length) {
    byte[] part = new byte[length];
    int filled = 0;
    while (filled < length) {
      byte[] first = unread.element();
      int count = Math.min(first.length - offset, length - filled);
      System.arraycopy(first, offset, part, filled, count);
      filled += count;
      offset += count;
      if (offset == first.length) {
        unread.remove();
        offset = 0;
      }
    }
    unreadBytes -= length;
    credit -= length;
    return part;
  }
}
