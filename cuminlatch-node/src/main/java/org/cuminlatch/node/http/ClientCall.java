package org.cuminlatch.node.http;

/** A request on its way. */
public interface ClientCall {

  /** Withdraws the request by closing its connection; the listener hears nothing more. */
  void cancel();
}
