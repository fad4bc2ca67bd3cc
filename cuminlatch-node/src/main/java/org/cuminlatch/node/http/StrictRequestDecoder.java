package org.cuminlatch.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Rejects a request that has both a Content-Length and a chunked body, instead of ignoring one of
 * them.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

  private static final int MIN_REQUEST_LINE_LIMIT_BYTES = 8192;

  private boolean inBody;
  private int unfinishedHeadBytes;

  StrictRequestDecoder(int maxHeaderBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(Math.max(MIN_REQUEST_LINE_LIMIT_BYTES, maxHeaderBytes))
            .setMaxHeaderSize(maxHeaderBytes)
            .setStrictLineParsing(true));
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    final int before = in.readableBytes();
    super.decode(context, in, out);
    for (Object part : out) {
      inBody = !(part instanceof LastHttpContent);
      unfinishedHeadBytes = 0;
    }
    if (out.isEmpty() && !inBody) {
      unfinishedHeadBytes += before - in.readableBytes();
    }
  }

  /** Returns the number of bytes that have been read of a head whose end has not. */
  int unfinishedHeadBytes() {
    return unfinishedHeadBytes;
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException(
        "request has both Content-Length and chunked Transfer-Encoding");
  }
}
