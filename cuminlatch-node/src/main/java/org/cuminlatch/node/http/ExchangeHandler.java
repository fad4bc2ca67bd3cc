package org.cuminlatch.node.http;

/** Handles the requests of an {@link HttpServer}; called on its event loop and must not block. */
@FunctionalInterface
public interface ExchangeHandler {

  /**
   * Handles a completely received request.
   *
   * @param exchange the request, to which the handler must respond, at once or later
   */
  void handle(ServerExchange exchange);

  /**
   * Called instead of {@link #handle} if the caller had closed the connection before its request
   * could be handled.
   *
   * @param exchange the request, which can't be responded to
   */
  default void onAbandoned(ServerExchange exchange) {}
}
