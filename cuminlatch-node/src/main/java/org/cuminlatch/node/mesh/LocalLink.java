package org.cuminlatch.node.mesh;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.wire.call.CallChannel;
import org.cuminlatch.wire.call.CallFrames;
import org.cuminlatch.wire.proto.call.CallFrame;

/** The way to the gate in the same process; frames take a turn of the event loop each way. */
final class LocalLink implements TargetLink, CallChannel {

  private final EventLoop loop;
  private final SlotGate gate;
  private final Map<AttemptId, AttemptListener> listeners = new HashMap<>();

  LocalLink(EventLoop loop, SlotGate gate) {
    this.loop = loop;
    this.gate = gate;
  }

  @Override
  public void begin(AttemptId attempt, CallFrame begin, AttemptListener listener) {
    listeners.put(attempt, listener);
    gate.received(this, begin);
  }

  /** Takes a frame of either end: the gate's answers go to listeners, all else to the gate. */
  @Override
  public void send(CallFrame frame) {
    switch (frame.getKindCase()) {
      case CANCEL, CREDIT -> gate.received(this, frame);
      default -> loop.execute(() -> deliver(frame));
    }
  }

  private void deliver(CallFrame frame) {
    AttemptListener listener = listeners.get(CallFrames.attempt(frame));
    if (listener != null) {
      listener.received(frame);
    }
  }

  @Override
  public void forget(AttemptId attempt) {
    listeners.remove(attempt);
  }

  @Override
  public void close() {
    // the process is one; there is nothing to close
  }

  @Override
  public boolean isOpen() {
    return true;
  }

  @Override
  public String peer() {
    return "local";
  }
}
