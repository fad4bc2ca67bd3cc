package org.cuminlatch.node.http;

/** Takes the one end of a request that was sent; called on the client's event loop. */
public interface ClientListener {

  /**
   * Takes the answer.
   *
   * @param response the whole answer
   */
  void answered(ClientResponse response);

  /**
   * Takes a failure.
   *
   * @param failure what is known
   */
  void failed(Failure failure);

  /**
   * Why there is no answer.
   *
   * @param sent whether any byte of the request may have reached the server
   * @param reason short reason for logs
   */
  record Failure(boolean sent, String reason) {}
}
