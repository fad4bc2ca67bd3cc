package org.cuminlatch.node.mesh;

import org.cuminlatch.wire.proto.call.CallFrame;

/** Takes what comes back for an attempt; called on the traffic loop. */
interface AttemptListener {

  void received(CallFrame frame);

  /** The connection over which the answer would have come is lost. */
  void linkLost();
}
