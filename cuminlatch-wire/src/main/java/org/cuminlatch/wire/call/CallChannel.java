package org.cuminlatch.wire.call;

import org.cuminlatch.wire.proto.call.CallFrame;

/** One end of a connection that carries the frames of many attempts. */
public interface CallChannel {

  /**
   * Sends a frame; frames arrive in the order in which they were sent or not at all.
   *
   * @param frame the frame
   */
  void send(CallFrame frame);

  /** Closes the connection. */
  void close();

  /**
   * Returns whether frames can still be sent.
   *
   * @return false once the connection is closed
   */
  boolean isOpen();

  /**
   * Returns the other end.
   *
   * @return its address for logs
   */
  String peer();
}
