package org.cuminlatch.node.mesh;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.wire.call.CallChannel;
import org.cuminlatch.wire.call.CallFrames;
import org.cuminlatch.wire.proto.call.CallFrame;

/**
 * Link to the gate in the same process; frames of the gate are delivered in a later task of the
 * event loop.
 */
final class LocalLink implements TargetLink {

  private final EventLoop loop;
  private final SlotGate gate;
  private final CallChannel gateChannel = new GateChannel();
  private final Map<AttemptId, AttemptListener> listeners = new HashMap<>();

  LocalLink(EventLoop loop, SlotGate gate) {
    this.loop = loop;
    this.gate = gate;
  }

  @Override
  public void begin(AttemptId attempt, CallFrame begin, AttemptListener listener) {
    listeners.put(attempt, listener);
    send(begin);
  }

  @Override
  public void send(CallFrame frame) {
    gate.onFrame(gateChannel, frame);
  }

  @Override
  public void unregister(AttemptId attempt) {
    listeners.remove(attempt);
  }

  private void deliver(CallFrame frame) {
    AttemptListener listener = listeners.get(CallFrames.attempt(frame));
    if (listener != null) {
      listener.onFrame(frame);
    }
  }

  /** Delivers the frames of the gate to the listeners of their attempts. */
  private final class GateChannel implements CallChannel {

    @Override
    public void send(CallFrame frame) {
      loop.execute(() -> deliver(frame));
    }

    @Override
    public void close() {
      // both sides are in one process; there is no connection to close
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
}
