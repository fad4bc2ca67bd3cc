package org.cuminlatch.node.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Handles the requests of an {@link HttpServer}; called on its event loop and must not block. */
@FunctionalInterface
public interface ExchangeHandler {

  /**
   * Handles a request: a completely received one or, if the handler receives bodies in parts, one
   * with a large body of which the beginning has been received.
   *
   * @param exchange the request, to which the handler must respond, at once or later
   */
  void handle(ServerExchange exchange);

  /**
   * Checks a request whose body has not been received yet. If it is rejected, its body is not kept,
   * and {@link #reject} is called instead of {@link #handle}.
   *
   * @param head the request with an empty body, which must not be responded to
   * @return the rejection, empty if the body is to be received
   */
  default Optional<Rejection> checkHead(ServerExchange head) {
    return Optional.empty();
  }

  /**
   * Responds to a request that was rejected at its head.
   *
   * @param exchange the request with an empty body
   * @param rejection result of {@link #checkHead}
   */
  default void reject(ServerExchange exchange, Rejection rejection) {
    List<Map.Entry<String, String>> headers =
        rejection.retryAfterSeconds().stream()
            .mapToObj(
                seconds -> Map.entry("Retry-After", String.format(Locale.ROOT, "%.3f", seconds)))
            .toList();
    byte[] text = (rejection.reason() + "\n").getBytes(StandardCharsets.UTF_8);
    exchange.respond(rejection.status(), headers, text);
  }

  /**
   * Returns whether the handler needs no bodies. They are read and not kept then.
   *
   * @return true if all requests are handled with an empty body
   */
  default boolean ignoresBodies() {
    return false;
  }

  /**
   * Returns whether a request may be handled side by side with others that its caller has sent
   * before and after it on the same connection. Responses keep the order of the requests.
   *
   * @param exchange the request
   * @return true if the order in which such requests are executed does not matter
   */
  default boolean mayOverlap(ServerExchange exchange) {
    return false;
  }

  /**
   * Returns whether requests with bodies of more than {@link HttpServer#STREAMED_BODY_BYTES} are
   * handed over before their bodies are complete.
   *
   * @return true if the handler gets them with {@link ServerExchange#receiveBody}
   */
  default boolean receivesBodiesInParts() {
    return false;
  }

  /**
   * Called instead of {@link #handle} if the caller had closed the connection before its request
   * could be handled.
   *
   * @param exchange the request, which can't be responded to
   */
  default void onAbandoned(ServerExchange exchange) {}
}
