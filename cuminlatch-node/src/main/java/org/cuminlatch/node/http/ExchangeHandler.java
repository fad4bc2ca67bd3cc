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
}
