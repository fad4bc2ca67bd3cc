package org.cuminlatch.node.call;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cuminlatch.core.route.RequestHead;
import org.cuminlatch.wire.proto.call.Header;

/**
 * A caller's request. The start of its body is buffered so that it can be sent again with further
 * attempts.
 *
 * @param head the parts that routing uses
 * @param path path and query as the caller sent them
 * @param headers headers that are forwarded to the target
 * @param contentLength length of the body in bytes, -1 if unknown
 * @param bodyStart first bytes of the body, at most {@link #MAX_BUFFERED_BODY_BYTES}
 * @param bodyComplete whether these bytes are the whole body
 * @param bodyRest stream of the bytes that follow
 */
record CallerRequest(
    RequestHead head,
    String path,
    List<Header> headers,
    long contentLength,
    byte[] bodyStart,
    boolean bodyComplete,
    InputStream bodyRest) {

  static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;

  private static final byte[] EMPTY = new byte[0];

  /** Reads the head of a request and the start of its body. */
  static CallerRequest read(HttpExchange exchange) throws IOException {
    Headers requestHeaders = exchange.getRequestHeaders();
    long length = contentLength(requestHeaders);
    InputStream body = exchange.getRequestBody();
    byte[] bodyStart = length == 0 ? EMPTY : body.readNBytes(MAX_BUFFERED_BODY_BYTES);
    boolean bodyComplete =
        length < 0 ? bodyStart.length < MAX_BUFFERED_BODY_BYTES : length <= MAX_BUFFERED_BODY_BYTES;
    URI uri = exchange.getRequestURI();
    return new CallerRequest(
        head(exchange, requestHeaders),
        path(uri),
        forwardedHeaders(requestHeaders),
        length,
        bodyStart,
        bodyComplete,
        body);
  }

  static RequestHead head(HttpExchange exchange, Headers requestHeaders) {
    Map<String, String> values = new HashMap<>();
    requestHeaders.forEach((name, list) -> values.put(name.toLowerCase(Locale.ROOT), list.get(0)));
    String rawPath = exchange.getRequestURI().getRawPath();
    return new RequestHead(
        exchange.getRequestMethod(),
        withoutPort(values.getOrDefault("host", "")),
        rawPath == null || rawPath.isEmpty() ? "/" : rawPath,
        values);
  }

  private static String withoutPort(String host) {
    int colon = host.lastIndexOf(':');
    return colon > host.lastIndexOf(']') ? host.substring(0, colon) : host;
  }

  private static long contentLength(Headers requestHeaders) {
    if (requestHeaders.getFirst("Transfer-encoding") != null) {
      return -1;
    }
    String length = requestHeaders.getFirst("Content-length");
    return length == null ? 0 : Long.parseLong(length.trim());
  }

  private static String path(URI uri) {
    String path = uri.getRawPath() == null || uri.getRawPath().isEmpty() ? "/" : uri.getRawPath();
    return uri.getRawQuery() == null ? path : path + "?" + uri.getRawQuery();
  }

  private static List<Header> forwardedHeaders(Headers requestHeaders) {
    List<Header> headers = new ArrayList<>(requestHeaders.size());
    requestHeaders.forEach(
        (name, values) -> {
          if (CallHeaders.isForwarded(name)) {
            values.forEach(
                value -> headers.add(GateFrames.header(name.toLowerCase(Locale.ROOT), value)));
          }
        });
    return headers;
  }
}
