package org.cuminlatch.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Finds the heads of HTTP/1.x responses in a stream of bytes. */
final class ResponseHeads {

  private static final ByteBuf VERSION =
      Unpooled.unreleasableBuffer(
          Unpooled.copiedBuffer("HTTP/1.", StandardCharsets.US_ASCII).asReadOnly());

  /** Length of a status line up to and including the byte after the status. */
  static final int STATUS_LINE_PREFIX_LENGTH = "HTTP/1.1 200 ".length();

  private ResponseHeads() {}

  /**
   * Returns the position of the first status line that starts within a range.
   *
   * @return the index of its first byte, -1 if there is none
   */
  static int indexOfStatusLine(ByteBuf bytes, int from, int to) {
    int start = from;
    while (start < to) {
      int offset = ByteBufUtil.indexOf(VERSION.duplicate(), bytes.slice(start, to - start));
      if (offset < 0) {
        return -1;
      }
      if (isStatusLine(bytes, start + offset, to)) {
        return start + offset;
      }
      start += offset + 1;
    }
    return -1;
  }

  private static boolean isStatusLine(ByteBuf bytes, int start, int to) {
    if (start + STATUS_LINE_PREFIX_LENGTH > to) {
      return false;
    }
    byte end = bytes.getByte(start + 12);
    return isDigit(bytes.getByte(start + 7))
        && bytes.getByte(start + 8) == ' '
        && isDigit(bytes.getByte(start + 9))
        && isDigit(bytes.getByte(start + 10))
        && isDigit(bytes.getByte(start + 11))
        && (end == ' ' || end == '\r' || end == '\n');
  }

  private static boolean isDigit(byte character) {
    return character >= '0' && character <= '9';
  }

  /**
   * Returns the position of the end of a head.
   *
   * @return the index behind the empty line that ends it, -1 if the range has none
   */
  static int indexOfHeadEnd(ByteBuf bytes, int from, int to) {
    int lineFeed = bytes.indexOf(from, to, (byte) '\n');
    while (lineFeed >= 0) {
      int next = lineFeed + 1;
      if (next < to && bytes.getByte(next) == '\r') {
        next++;
      }
      if (next < to && bytes.getByte(next) == '\n') {
        return next + 1;
      }
      lineFeed = bytes.indexOf(lineFeed + 1, to, (byte) '\n');
    }
    return -1;
  }

  /**
   * Returns whether a range that begins with a status line continues like a head, as far as its
   * lines are complete.
   */
  static boolean continuesAsHead(ByteBuf bytes, int from, int to) {
    int lineStart = bytes.indexOf(from, to, (byte) '\n') + 1;
    while (lineStart > 0) {
      int lineEnd = bytes.indexOf(lineStart, to, (byte) '\n');
      if (lineEnd < 0) {
        return true;
      }
      int colon = bytes.indexOf(lineStart, lineEnd, (byte) ':');
      if (colon <= lineStart || bytes.indexOf(lineStart, colon, (byte) ' ') >= 0) {
        return false;
      }
      lineStart = lineEnd + 1;
    }
    return true;
  }

  /**
   * Decodes a complete head.
   *
   * @return the head, empty if it is malformed
   */
  static Optional<HttpResponse> decode(ByteBuf head) {
    EmbeddedChannel channel = new EmbeddedChannel(new HttpResponseDecoder());
    try {
      channel.writeInbound(head.retainedDuplicate());
      return Optional.ofNullable((HttpResponse) channel.readInbound())
          .filter(response -> response.decoderResult().isSuccess());
    } finally {
      channel.finishAndReleaseAll();
    }
  }
}
