package org.cuminlatch.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectDecoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;

/**
 * Decodes responses from their status line on, whatever precedes it.
 *
 * <p>A head is decoded when it is complete. If it holds a second status line, it may consist of
 * parts of two responses. A response to HEAD has no body whatever its headers state.
 */
final class ResponseDecoder extends HttpResponseDecoder {

  private static final int MAX_HEAD_BYTES =
      HttpObjectDecoder.DEFAULT_MAX_INITIAL_LINE_LENGTH + HttpObjectDecoder.DEFAULT_MAX_HEADER_SIZE;

  private final BooleanSupplier answersHead;
  private final int maxSkippedBytes;
  private final IntConsumer skippedListener;
  private boolean awaitsHead = true;
  private boolean headIsAmbiguous;
  private boolean skipsResponse;
  private int skippedBytes;

  /**
   * Creates a decoder.
   *
   * @param answersHead tells whether the awaited response is one to HEAD
   * @param maxSkippedBytes maximum number of bytes before a response
   * @param skippedListener called with the number of bytes that precede a response
   */
  ResponseDecoder(BooleanSupplier answersHead, int maxSkippedBytes, IntConsumer skippedListener) {
    this.answersHead = answersHead;
    this.maxSkippedBytes = maxSkippedBytes;
    this.skippedListener = skippedListener;
  }

  /** Prepares for the response to a new request. */
  void awaitResponse() {
    skipsResponse = false;
    skippedBytes = 0;
  }

  /**
   * Skips the response whose head has been decoded. Its body may be cut short: unless its length
   * tells where the next response begins, everything up to the next head is skipped.
   *
   * @param length length of the body, negative if unknown
   */
  void skipResponse(long length) {
    reset();
    awaitsHead = true;
    ByteBuf in = internalBuffer();
    int end = in.readerIndex() + (int) Math.min(length, in.readableBytes());
    boolean whole = length >= 0 && length <= in.readableBytes();
    skipsResponse =
        !whole
            || (end < in.writerIndex()
                && ResponseHeads.indexOfStatusLine(in, end, in.writerIndex()) != end);
    if (!skipsResponse) {
      skip(in, (int) length);
    }
  }

  /** Returns whether the last head may consist of parts of two responses. */
  boolean isHeadAmbiguous() {
    return headIsAmbiguous;
  }

  /** Returns the bytes that have been received and not decoded, valid until the next read. */
  ByteBuf unread() {
    return internalBuffer().slice();
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return answersHead.getAsBoolean() || super.isContentAlwaysEmpty(message);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    if (awaitsHead && !findHead(in)) {
      return;
    }
    super.decode(context, in, out);
    if (!out.isEmpty()) {
      awaitsHead = out.get(out.size() - 1) instanceof LastHttpContent;
    }
  }

  /** Moves to the next head and returns whether it is complete. */
  private boolean findHead(ByteBuf in) {
    while (true) {
      int start = ResponseHeads.indexOfStatusLine(in, in.readerIndex(), in.writerIndex());
      if (start < 0) {
        skipUnlessStatusLineMayFollow(in);
        return false;
      }
      if (start > in.readerIndex()) {
        skipTo(in, start);
      }
      int limit = Math.min(in.writerIndex(), start + MAX_HEAD_BYTES);
      int end = ResponseHeads.indexOfHeadEnd(in, start, limit);
      if (end >= 0) {
        headIsAmbiguous = ResponseHeads.indexOfStatusLine(in, start + 1, end) >= 0;
        skipsResponse = false;
        return true;
      }
      if (in.readableBytes() < MAX_HEAD_BYTES) {
        return false;
      }
      if (!skipsResponse) {
        throw new TooLongHttpHeaderException("head of a response exceeds " + MAX_HEAD_BYTES);
      }
      in.skipBytes(1); // the body of the skipped response holds something like a status line
    }
  }

  private void skipUnlessStatusLineMayFollow(ByteBuf in) {
    if (skipsResponse) {
      int kept = Math.min(in.readableBytes(), ResponseHeads.STATUS_LINE_PREFIX_LENGTH - 1);
      skip(in, in.readableBytes() - kept);
      return;
    }
    skipEmptyLines(in);
    checkStatus(in, in.writerIndex());
    if (in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n') >= 0) {
      throw new IllegalArgumentException("first line is no status line");
    }
    if (in.readableBytes() > MAX_HEAD_BYTES) {
      throw new TooLongHttpHeaderException("no status line within " + MAX_HEAD_BYTES + " bytes");
    }
  }

  /**
   * Fails if the first line is complete and a status line but for its status. A status line that
   * was cut short is followed by other bytes on the same line, and is skipped.
   */
  private static void checkStatus(ByteBuf in, int to) {
    Optional<String> status = ResponseHeads.invalidStatus(in, in.readerIndex(), to);
    if (status.isPresent()) {
      throw new InvalidStatusException(status.get());
    }
  }

  private void skipEmptyLines(ByteBuf in) {
    int length = 0;
    while (length < in.readableBytes() && isLineEnd(in.getByte(in.readerIndex() + length))) {
      length++;
    }
    skip(in, length);
  }

  private static boolean isLineEnd(byte character) {
    return character == '\r' || character == '\n';
  }

  private void skipTo(ByteBuf in, int statusLine) {
    skipEmptyLines(in);
    int length = statusLine - in.readerIndex();
    if (!skipsResponse && length > 0) {
      checkStatus(in, statusLine);
      skippedListener.accept(length);
    }
    skip(in, length);
  }

  private void skip(ByteBuf in, int length) {
    in.skipBytes(length);
    skippedBytes += length;
    if (skippedBytes > maxSkippedBytes) {
      throw new IllegalArgumentException(
          "more than " + maxSkippedBytes + " bytes precede a response");
    }
  }
}
