package org.cuminlatch.node.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Rejects a request that has both a length and chunks instead of choosing one of them. */
final class StrictRequestDecoder extends HttpRequestDecoder {

  private static final int MAX_LINE_BYTES = 8192;

  StrictRequestDecoder(int maxHeaderBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(Math.max(MAX_LINE_BYTES, maxHeaderBytes))
            .setMaxHeaderSize(maxHeaderBytes)
            .setStrictLineParsing(true));
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("request has both a length and chunks");
  }
}
