package org.cuminlatch.node.mesh;

import org.cuminlatch.wire.proto.call.CallFrame;

/** Receives the frames that answer an attempt; called on the traffic loop. */
interface AttemptListener {

  void onFrame(CallFrame frame);

  /** Called when the connection over which the answer would arrive is lost. */
  void onLinkLost();
}
