package org.cuminlatch.node.call;

import org.cuminlatch.wire.proto.call.CallFrame;

/** Event of a running attempt, handled by the thread of its call. */
sealed interface AttemptEvent {

  /** A frame was received from the target's node. */
  record FrameReceived(CallFrame frame) implements AttemptEvent {}

  /**
   * The connection to the target's node was lost.
   *
   * @param maybeReceived whether the target's node may have received the attempt
   * @param peerFailed whether a new connection failed as well
   */
  record ConnectionLost(boolean maybeReceived, boolean peerFailed) implements AttemptEvent {}

  /** The parent of the attempt's call has ended. */
  record ParentEnded() implements AttemptEvent {}
}
