package org.cuminlatch.node.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.cuminlatch.node.http.ClientResponse;
import org.cuminlatch.node.http.ServerExchange;
import org.cuminlatch.wire.proto.call.Begin;
import org.cuminlatch.wire.proto.call.Header;

/** Which headers travel between caller and target. */
final class GateHeaders {

  /** Headers that concern one connection only (RFC 9110, section 7.6.1) and the body's length. */
  private static final Set<String> OF_ONE_CONNECTION =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "expect",
          "content-length");

  private GateHeaders() {}

  /** Returns the caller's headers without those that the mesh sets itself. */
  static List<Header> fromCaller(ServerExchange exchange, HeaderNames names) {
    Set<String> dropped = named(exchange.headers("connection"));
    dropped.add(names.deadlineMillis().toLowerCase(Locale.ROOT));
    dropped.add(names.expectedInstance().toLowerCase(Locale.ROOT));
    dropped.add(names.originService().toLowerCase(Locale.ROOT));
    List<Header> headers = new ArrayList<>();
    for (Map.Entry<String, String> entry : exchange.headers()) {
      String name = entry.getKey().toLowerCase(Locale.ROOT);
      if (!OF_ONE_CONNECTION.contains(name) && !dropped.contains(name)) {
        headers.add(Header.newBuilder().setName(entry.getKey()).setValue(entry.getValue()).build());
      }
    }
    return headers;
  }

  static List<Map.Entry<String, String>> toTarget(Begin begin, HeaderNames names, Duration left) {
    List<Map.Entry<String, String>> headers = new ArrayList<>();
    begin
        .getHeadersList()
        .forEach(header -> headers.add(Map.entry(header.getName(), header.getValue())));
    headers.add(Map.entry(names.deadlineMillis(), Long.toString(Math.max(1, left.toMillis()))));
    headers.add(Map.entry(names.expectedInstance(), begin.getExpectedInstance()));
    headers.add(Map.entry(names.originService(), begin.getOriginService()));
    return headers;
  }

  static List<Map.Entry<String, String>> toCaller(ClientResponse response) {
    List<String> connection = new ArrayList<>();
    response.headers().stream()
        .filter(entry -> entry.getKey().equalsIgnoreCase("connection"))
        .forEach(entry -> connection.add(entry.getValue()));
    Set<String> dropped = named(connection);
    return response.headers().stream()
        .filter(entry -> !OF_ONE_CONNECTION.contains(entry.getKey().toLowerCase(Locale.ROOT)))
        .filter(entry -> !dropped.contains(entry.getKey().toLowerCase(Locale.ROOT)))
        .toList();
  }

  /** Returns whether an answer is to this attempt and not a late one to an earlier. */
  static boolean belongs(ClientResponse response, Begin begin, HeaderNames names) {
    boolean success = response.status() < 300;
    return response.header(names.requestId()).map(begin.getRequestId()::equals).orElse(!success);
  }

  private static Set<String> named(List<String> connectionHeaders) {
    Set<String> names = new HashSet<>();
    for (String value : connectionHeaders) {
      for (String name : value.split(",")) {
        names.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    return names;
  }
}
