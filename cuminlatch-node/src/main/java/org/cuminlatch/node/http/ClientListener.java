package org.cuminlatch.node.http;

/**
 * Listens for the end of a request that was sent. Exactly one of the methods is called, on the
 * client's event loop, unless the request is cancelled.
 */
public interface ClientListener {

  /**
   * Called with the response.
   *
   * @param response the complete response
   */
  void onResponse(ClientResponse response);

  /**
   * Called if there is no complete response.
   *
   * @param failure why there is none
   */
  void onFailure(Failure failure);

  /**
   * Reason why there is no complete response.
   *
   * @param sent whether any byte of the request may have reached the server
   * @param reason short reason for logs
   */
  record Failure(boolean sent, String reason) {}
}
