package org.cuminlatch.node.http;

/** A request that was sent and has not ended yet. */
public interface ClientCall {

  /** Cancels the request by closing its connection; its listener is no longer called. */
  void cancel();

  /** Returns whether the head of the response has been received and the request has not ended. */
  boolean hasResponseStarted();
}
