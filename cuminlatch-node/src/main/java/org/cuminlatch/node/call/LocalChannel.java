package org.cuminlatch.node.call;

import org.cuminlatch.wire.call.CallChannel;
import org.cuminlatch.wire.call.CallFrameHandler;
import org.cuminlatch.wire.proto.call.CallFrame;

/** One end of an in-process connection between a node's entry side and its own gate. */
final class LocalChannel implements CallChannel {

  private static final String PEER = "local";

  private final CallFrameHandler receiver;
  private LocalChannel otherEnd;

  private LocalChannel(CallFrameHandler receiver) {
    this.receiver = receiver;
  }

  /** Connects two handlers and returns the channel on which the first sends to the second. */
  static CallChannel connect(CallFrameHandler first, CallFrameHandler second) {
    LocalChannel toSecond = new LocalChannel(second);
    LocalChannel toFirst = new LocalChannel(first);
    toSecond.otherEnd = toFirst;
    toFirst.otherEnd = toSecond;
    return toSecond;
  }

  @Override
  public void send(CallFrame frame) {
    receiver.onFrame(otherEnd, frame);
  }

  @Override
  public void close() {
    receiver.onClosed(otherEnd);
  }

  @Override
  public boolean isOpen() {
    return true;
  }

  @Override
  public String peer() {
    return PEER;
  }
}
