package org.cuminlatch.node.mesh;

import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.wire.proto.call.CallFrame;

/** Link to the gate of one target; used on the traffic loop. */
interface TargetLink {

  /** Sends the first frame of an attempt and registers the listener for its answer. */
  void begin(AttemptId attempt, CallFrame begin, AttemptListener listener);

  void send(CallFrame frame);

  /** Removes the listener of an attempt; later frames of the attempt are dropped. */
  void unregister(AttemptId attempt);
}
