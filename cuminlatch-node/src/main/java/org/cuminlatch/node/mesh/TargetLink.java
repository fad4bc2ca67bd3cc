package org.cuminlatch.node.mesh;

import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.wire.proto.call.CallFrame;

/** The way to the gate of one target. */
interface TargetLink {

  /** Sends the first frame of an attempt and registers who takes the answer. */
  void begin(AttemptId attempt, CallFrame begin, AttemptListener listener);

  void send(CallFrame frame);

  /** Forgets an attempt; what still comes for it is dropped. */
  void forget(AttemptId attempt);
}
