package org.cuminlatch.node.http;

/** Takes the requests of an {@link HttpServer}; called by its event loop and must not block. */
@FunctionalInterface
public interface ExchangeHandler {

  /**
   * Takes a request that has been read to its end.
   *
   * @param exchange the request and the means to answer it
   */
  void handle(ServerExchange exchange);
}
