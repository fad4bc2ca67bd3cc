package org.cuminlatch.node.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Rejects a request that has both a Content-Length and a chunked body, instead of ignoring one of
 * them.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

  private static final int MIN_REQUEST_LINE_LIMIT_BYTES = 8192;

  StrictRequestDecoder(int maxHeaderBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(Math.max(MIN_REQUEST_LINE_LIMIT_BYTES, maxHeaderBytes))
            .setMaxHeaderSize(maxHeaderBytes)
            .setStrictLineParsing(true));
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException(
        "request has both Content-Length and chunked Transfer-Encoding");
  }
}
