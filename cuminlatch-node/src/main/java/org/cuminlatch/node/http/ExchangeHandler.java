package org.cuminlatch.node.http;

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
