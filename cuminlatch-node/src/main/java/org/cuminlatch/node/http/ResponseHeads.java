package org.cuminlatch.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Finds the heads of HTTP/1.x responses in a stream of bytes. */
final class ResponseHeads {

  /** Start of a status line up to the byte after the status; a zero stands for any digit. */
  private static final String STATUS_LINE = "HTTP/1.0 000 ";

  /** Length of the part of a status line that tells it from other bytes. */
  static final int STATUS_LINE_PREFIX_LENGTH = STATUS_LINE.length();

  private static final ByteBuf END_OF_HEAD =
      Unpooled.unreleasableBuffer(
          Unpooled.copiedBuffer("\r\n", StandardCharsets.US_ASCII).asReadOnly());

  /** Length of a status line up to the status. */
  private static final int STATUS_START = "HTTP/1.0 ".length();

  /** Length up to which an invalid status is kept for logs. */
  private static final int MAX_STATUS_CHARS = 8;

  private ResponseHeads() {}

  /**
   * Returns the position of the first status line that starts within a range.
   *
   * @return the index of its first byte, -1 if there is none
   */
  static int indexOfStatusLine(ByteBuf bytes, int from, int to) {
    int start = bytes.indexOf(from, to, (byte) 'H');
    while (start >= 0) {
      if (statusLineLength(bytes, start, to) == STATUS_LINE_PREFIX_LENGTH) {
        return start;
      }
      start = bytes.indexOf(start + 1, to, (byte) 'H');
    }
    return -1;
  }

  /**
   * Returns the length of the start of a status line that a range ends with.
   *
   * @return the number of bytes, 0 if the range ends with something else
   */
  static int lengthOfCutStatusLine(ByteBuf bytes, int from, int to) {
    for (int start = Math.max(from, to - STATUS_LINE_PREFIX_LENGTH + 1); start < to; start++) {
      if (statusLineLength(bytes, start, to) == to - start) {
        return to - start;
      }
    }
    return 0;
  }

  /**
   * Returns the status of the line at a position if it is complete and a status line, but for a
   * status that is not three digits.
   *
   * @return the status, cut short; empty if the line is incomplete or something else
   */
  static Optional<String> invalidStatus(ByteBuf bytes, int start, int to) {
    int lineEnd = bytes.indexOf(start, to, (byte) '\n');
    int length = statusLineLength(bytes, start, to);
    if (lineEnd < start + STATUS_START
        || length < STATUS_START
        || length == STATUS_LINE_PREFIX_LENGTH) {
      return Optional.empty();
    }
    int from = start + STATUS_START;
    String rest =
        bytes.toString(
            from, Math.min(lineEnd - from, MAX_STATUS_CHARS), StandardCharsets.ISO_8859_1);
    return Optional.of(rest.split("[ \r]", 2)[0]);
  }

  /** Returns how many bytes from a position on could be the start of a status line. */
  private static int statusLineLength(ByteBuf bytes, int start, int to) {
    int length = 0;
    while (length < STATUS_LINE_PREFIX_LENGTH
        && start + length < to
        && fits(bytes.getByte(start + length), length)) {
      length++;
    }
    return length;
  }

  private static boolean fits(byte actual, int position) {
    if (position == STATUS_LINE_PREFIX_LENGTH - 1) {
      return actual == ' ' || actual == '\r' || actual == '\n';
    }
    char expected = STATUS_LINE.charAt(position);
    return expected == '0' ? actual >= '0' && actual <= '9' : actual == expected;
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
   * Returns the position of the first head that starts within a body. Lines of a head end with a
   * carriage return and a line feed; the last one may be incomplete.
   *
   * @param received the body and what has been received behind it
   * @param bodyLength length of the body
   * @return the index of its first byte, -1 if there is none
   */
  static int indexOfHead(ByteBuf received, int bodyLength) {
    int end = received.readableBytes();
    int start = indexOfStatusLine(received, 0, end);
    while (start >= 0 && start < bodyLength) {
      if (endOfHeadLines(received, start, end) >= 0) {
        return start;
      }
      start = indexOfStatusLine(received, start + 1, end);
    }
    return -1;
  }

  /**
   * Returns where the complete lines of a head end.
   *
   * @return the index behind the last complete line, -1 if one of them is not that of a head
   */
  static int endOfHeadLines(ByteBuf bytes, int statusLine, int to) {
    int lineStart = statusLine;
    int lineEnd = bytes.indexOf(lineStart, to, (byte) '\n');
    while (lineEnd >= 0) {
      if (bytes.getByte(lineEnd - 1) != '\r') {
        return -1;
      }
      if (lineEnd == lineStart + 1) {
        return lineStart;
      }
      if (lineStart > statusLine && !isHeader(bytes, lineStart, lineEnd)) {
        return -1;
      }
      lineStart = lineEnd + 1;
      lineEnd = bytes.indexOf(lineStart, to, (byte) '\n');
    }
    return lineStart;
  }

  private static boolean isHeader(ByteBuf bytes, int lineStart, int lineEnd) {
    int colon = bytes.indexOf(lineStart, lineEnd, (byte) ':');
    return colon > lineStart && bytes.indexOf(lineStart, colon, (byte) ' ') < 0;
  }

  /**
   * Decodes the complete lines of a head.
   *
   * @return the head, empty if it is malformed
   */
  static Optional<HttpResponse> decode(ByteBuf lines) {
    EmbeddedChannel channel = new EmbeddedChannel(new HttpResponseDecoder());
    try {
      channel.writeInbound(Unpooled.wrappedBuffer(lines.copy(), END_OF_HEAD.duplicate()));
      return Optional.ofNullable((HttpResponse) channel.readInbound())
          .filter(response -> response.decoderResult().isSuccess());
    } finally {
      channel.finishAndReleaseAll();
    }
  }
}
