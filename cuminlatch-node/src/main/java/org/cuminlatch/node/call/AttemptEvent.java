package org.cuminlatch.node.call;

import org.cuminlatch.wire.proto.call.CallFrame;

/** What the thread that carries a call learns of its attempt. */
sealed interface AttemptEvent {

  /** A frame arrived from the node beside the target. */
  record Arrived(CallFrame frame) implements AttemptEvent {}

  /**
   * The connection was lost.
   *
   * @param begun whether the attempt may have reached the peer
   * @param blamed whether a fresh connection failed as well
   */
  record ConnectionLost(boolean begun, boolean blamed) implements AttemptEvent {}

  /** The call that this one was made for has ended. */
  record ParentEnded() implements AttemptEvent {}
}
