package org.cuminlatch.wire.call;

import org.cuminlatch.wire.proto.call.CallFrame;

/** Handles the events of call connections; called on their threads and must not block. */
public interface CallFrameHandler {

  /**
   * Called when a connection has been opened.
   *
   * @param channel the connection
   */
  default void onConnected(CallChannel channel) {}

  /**
   * Called when a frame has been received.
   *
   * @param channel connection on which it arrived
   * @param frame the frame
   */
  void onFrame(CallChannel channel, CallFrame frame);

  /**
   * Called when a connection has been closed.
   *
   * @param channel the connection
   */
  void onClosed(CallChannel channel);
}
