package org.cuminlatch.wire.call;

import org.cuminlatch.wire.proto.call.CallFrame;

/** One end of a connection over which the frames of many attempts are sent. */
public interface CallChannel {

  /**
   * Sends a frame; frames arrive in the order in which they were sent, or are lost.
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
   * Returns the address of the other end.
   *
   * @return the address, for log lines
   */
  String peer();
}
