package org.cuminlatch.node.http;

/** Listens for the progress of a request whose body is sent in parts. */
public interface UploadListener extends ClientListener {

  /** Called when a connection is open, after which the request can be started. */
  void onOpened();
}
