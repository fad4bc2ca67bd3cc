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
 * A caller's request with the first bytes of its body, which are kept for further attempts.
 *
 * @param head parts by which it is routed
 * @param path path and query as sent
 * @param headers headers that go on to the target
 * @param contentLength length of the body in bytes, -1 if not known
 * @param first first bytes of the body
 * @param complete whether these are all of them
 * @param rest the bytes that follow
 */
record CallerRequest(
    RequestHead head,
    String path,
    List<Header> headers,
    long contentLength,
    byte[] first,
    boolean complete,
    InputStream rest) {

  static final int KEPT_BYTES = 64 * 1024;

  private static final byte[] EMPTY = new byte[0];

  /** Reads the head of a request and the first bytes of its body. */
  static CallerRequest read(HttpExchange exchange) throws IOException {
    Headers received = exchange.getRequestHeaders();
    long length = contentLength(received);
    InputStream body = exchange.getRequestBody();
    byte[] first = length == 0 ? EMPTY : body.readNBytes(KEPT_BYTES);
    boolean complete = length < 0 ? first.length < KEPT_BYTES : length <= KEPT_BYTES;
    URI uri = exchange.getRequestURI();
    return new CallerRequest(
        head(exchange, received), path(uri), forwarded(received), length, first, complete, body);
  }

  static RequestHead head(HttpExchange exchange, Headers received) {
    Map<String, String> values = new HashMap<>();
    received.forEach((name, list) -> values.put(name.toLowerCase(Locale.ROOT), list.get(0)));
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

  private static long contentLength(Headers received) {
    if (received.getFirst("Transfer-encoding") != null) {
      return -1;
    }
    String length = received.getFirst("Content-length");
    return length == null ? 0 : Long.parseLong(length.trim());
  }

  private static String path(URI uri) {
    String path = uri.getRawPath() == null || uri.getRawPath().isEmpty() ? "/" : uri.getRawPath();
    return uri.getRawQuery() == null ? path : path + "?" + uri.getRawQuery();
  }

  private static List<Header> forwarded(Headers received) {
    List<Header> headers = new ArrayList<>(received.size());
    received.forEach(
        (name, values) -> {
          if (CallHeaders.isForwarded(name)) {
            values.forEach(
                value -> headers.add(GateFrames.header(name.toLowerCase(Locale.ROOT), value)));
          }
        });
    return headers;
  }
}
