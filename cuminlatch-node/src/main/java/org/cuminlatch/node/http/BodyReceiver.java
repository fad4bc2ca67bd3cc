package org.cuminlatch.node.http;

/** Receives the body of a request in parts; called on the event loop of the server. */
public interface BodyReceiver {

  /**
   * Called with the next part of the body, as far as credit was granted.
   *
   * @param content the part, empty only if it is the last one
   * @param last whether the body ends with this part
   */
  void onPart(byte[] content, boolean last);

  /**
   * Called if the body ends before its last part: the caller has disconnected, or what it sends is
   * malformed or over a limit. No part follows.
   */
  void onAborted();
}
