package org.cuminlatch.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Predicate;

/**
 * Tells whether a body is whole, although all bytes that its framing asks for have been received.
 *
 * <p>A server that breaks a response off and sends it again, or sends another response meanwhile,
 * fills the body with the bytes of a second head. More bytes than the framing asks for follow then,
 * unlike behind a body that only quotes a head.
 */
final class BodyInspection {

  /** Length of the start of a status line that a body without framing does not end with. */
  private static final int MIN_CUT_STATUS_LINE_LENGTH = "HTTP/1.".length();

  private BodyInspection() {}

  /** Result of an inspection. */
  enum Verdict {
    /** The body contains nothing like a head. */
    WHOLE,

    /** The body is whole unless further bytes are received. */
    WHOLE_IF_LAST,

    /** The body contains bytes of another response, or of a copy of this one. */
    MIXED
  }

  /**
   * Inspects a body.
   *
   * @param body the body
   * @param following bytes that have been received behind it
   * @param framed whether a length or chunks tell where the body ends
   * @param isOwnHead tells whether a head is another one of the same response
   * @return the verdict
   */
  static Verdict inspect(
      ByteBuf body, ByteBuf following, boolean framed, Predicate<HttpResponse> isOwnHead) {
    if (!body.isReadable()) {
      return Verdict.WHOLE;
    }
    ByteBuf received =
        following.isReadable() ? Unpooled.wrappedBuffer(body.slice(), following) : body;
    int head = ResponseHeads.indexOfHead(received, body.readableBytes());
    int cut = ResponseHeads.lengthOfCutStatusLine(body, 0, body.readableBytes());
    boolean headIsForeign = !framed || following.isReadable();
    if (head >= 0 && (headIsForeign || isOwnHead(received, head, isOwnHead))) {
      return Verdict.MIXED;
    }
    if (!framed && cut >= MIN_CUT_STATUS_LINE_LENGTH) {
      return Verdict.MIXED;
    }
    return head >= 0 || cut > 1 ? Verdict.WHOLE_IF_LAST : Verdict.WHOLE;
  }

  private static boolean isOwnHead(ByteBuf received, int start, Predicate<HttpResponse> isOwnHead) {
    int end = ResponseHeads.endOfHeadLines(received, start, received.readableBytes());
    return ResponseHeads.decode(received.slice(start, end - start)).filter(isOwnHead).isPresent();
  }
}
