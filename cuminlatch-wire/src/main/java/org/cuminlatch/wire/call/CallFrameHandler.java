package org.cuminlatch.wire.call;

import org.cuminlatch.wire.proto.call.CallFrame;

/** Takes what arrives on connections; called by their threads and must not block. */
public interface CallFrameHandler {

  /**
   * Takes the beginning of a connection.
   *
   * @param channel the connection
   */
  default void connected(CallChannel channel) {}

  /**
   * Takes a frame.
   *
   * @param channel connection on which it arrived
   * @param frame the frame
   */
  void received(CallChannel channel, CallFrame frame);

  /**
   * Takes the end of a connection.
   *
   * @param channel the connection
   */
  void closed(CallChannel channel);
}
