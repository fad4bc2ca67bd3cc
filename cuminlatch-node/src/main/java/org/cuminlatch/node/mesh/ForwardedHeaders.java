package org.cuminlatch.node.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.cuminlatch.node.http.ClientResponse;
import org.cuminlatch.node.http.ResponseOwner;
import org.cuminlatch.node.http.ServerExchange;
import org.cuminlatch.wire.proto.call.Answer;
import org.cuminlatch.wire.proto.call.Begin;
import org.cuminlatch.wire.proto.call.Header;

/** Selects the headers that are forwarded between caller and target. */
final class ForwardedHeaders {

  /** Headers of a single connection (RFC 9110, section 7.6.1), and the length of the body. */
  private static final Set<String> HOP_BY_HOP_HEADERS =
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

  private static final String AUTHORIZATION = "authorization";
  private static final String LEAVING_VALUE = "1";

  private ForwardedHeaders() {}

  /**
   * Returns the caller's headers without those of its connection and those that the mesh sets.
   *
   * @param hideCredentials whether to leave out the caller's key and the name of a client account,
   *     as the mesh identifies the caller in its place
   */
  static List<Header> fromCaller(
      ServerExchange exchange, HeaderNames names, boolean hideCredentials) {
    Set<String> dropped = listedNames(exchange.headers("connection"));
    dropped.add(names.deadlineMillis().toLowerCase(Locale.ROOT));
    dropped.add(names.expectedInstance().toLowerCase(Locale.ROOT));
    dropped.add(names.originService().toLowerCase(Locale.ROOT));
    if (hideCredentials) {
      dropped.add(AUTHORIZATION);
      dropped.add(names.account().toLowerCase(Locale.ROOT));
    }
    List<Header> headers = new ArrayList<>();
    for (Map.Entry<String, String> entry : exchange.headers()) {
      String name = entry.getKey().toLowerCase(Locale.ROOT);
      if (!HOP_BY_HOP_HEADERS.contains(name) && !dropped.contains(name)) {
        headers.add(Header.newBuilder().setName(entry.getKey()).setValue(entry.getValue()).build());
      }
    }
    return headers;
  }

  static List<Map.Entry<String, String>> toTarget(
      Begin begin, HeaderNames names, Duration timeLeft) {
    List<Map.Entry<String, String>> headers = new ArrayList<>();
    begin
        .getHeadersList()
        .forEach(header -> headers.add(Map.entry(header.getName(), header.getValue())));
    headers.add(Map.entry(names.deadlineMillis(), Long.toString(Math.max(1, timeLeft.toMillis()))));
    headers.add(Map.entry(names.expectedInstance(), begin.getExpectedInstance()));
    headers.add(Map.entry(names.originService(), begin.getOriginService()));
    if (!begin.getAccount().isEmpty()) {
      headers.add(Map.entry(names.account(), begin.getAccount()));
    }
    return headers;
  }

  static List<Map.Entry<String, String>> toCaller(ClientResponse response) {
    List<String> connection = new ArrayList<>();
    response.headers().stream()
        .filter(entry -> entry.getKey().equalsIgnoreCase("connection"))
        .forEach(entry -> connection.add(entry.getValue()));
    Set<String> dropped = listedNames(connection);
    return response.headers().stream()
        .filter(entry -> !HOP_BY_HOP_HEADERS.contains(entry.getKey().toLowerCase(Locale.ROOT)))
        .filter(entry -> !dropped.contains(entry.getKey().toLowerCase(Locale.ROOT)))
        .toList();
  }

  /** Returns whether an answer belongs to this attempt; a success always names its request. */
  static ResponseOwner ownerOf(ClientResponse response, Begin begin, HeaderNames names) {
    List<String> ids =
        response.headers().stream()
            .filter(entry -> entry.getKey().equalsIgnoreCase(names.requestId()))
            .map(Map.Entry::getValue)
            .toList();
    if (ids.isEmpty()) {
      boolean success = response.status() < 300;
      return success ? ResponseOwner.OTHER_REQUEST : ResponseOwner.UNNAMED;
    }
    return ids.stream().allMatch(begin.getRequestId()::equals)
        ? ResponseOwner.THIS_REQUEST
        : ResponseOwner.OTHER_REQUEST;
  }

  /**
   * Returns the rate limit that an answer names.
   *
   * @throws IllegalArgumentException if the value is not a number of requests
   */
  static OptionalDouble requestLimit(ClientResponse response, HeaderNames names) {
    Optional<String> text = response.header(names.requestLimit());
    return text.isEmpty() ? OptionalDouble.empty() : OptionalDouble.of(rate(text.get()));
  }

  /** Returns the rate limit that an answer of a target's node names, empty if it is unreadable. */
  static OptionalDouble requestLimit(Answer answer, HeaderNames names) {
    for (Header header : answer.getHeadersList()) {
      if (header.getName().equalsIgnoreCase(names.requestLimit())) {
        try {
          return OptionalDouble.of(rate(header.getValue()));
        } catch (IllegalArgumentException unreadable) {
          return OptionalDouble.empty();
        }
      }
    }
    return OptionalDouble.empty();
  }

  private static double rate(String text) {
    double perSecond = Double.parseDouble(text.trim());
    if (!(perSecond >= 0) || Double.isInfinite(perSecond)) {
      throw new IllegalArgumentException("not a rate: " + text);
    }
    return perSecond;
  }

  /** Returns for how long a target is cold by its answer to a health check, empty if unreadable. */
  static Optional<Duration> coldLeft(ClientResponse response, HeaderNames names) {
    try {
      return response
          .header(names.coldLeftMillis())
          .map(text -> Double.parseDouble(text.trim()))
          .filter(millis -> millis >= 0)
          .map(millis -> Duration.ofNanos((long) (millis * 1e6)));
    } catch (NumberFormatException unreadable) {
      return Optional.empty();
    }
  }

  /** Returns whether an answer says that its target leaves. */
  static boolean saysLeaving(ClientResponse response, HeaderNames names) {
    return response.header(names.leaving()).filter(LEAVING_VALUE::equals).isPresent();
  }

  /** Returns whether the answer of a target's node says that the target leaves. */
  static boolean saysLeaving(Answer answer, HeaderNames names) {
    return answer.getHeadersList().stream()
        .filter(header -> header.getName().equalsIgnoreCase(names.leaving()))
        .anyMatch(header -> header.getValue().equals(LEAVING_VALUE));
  }

  private static Set<String> listedNames(List<String> connectionHeaders) {
    Set<String> names = new HashSet<>();
    for (String value : connectionHeaders) {
      for (String name : value.split(",")) {
        names.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    return names;
  }
}
