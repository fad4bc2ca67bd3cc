package org.cuminlatch.node.mesh;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.wire.call.CallChannel;
import org.cuminlatch.wire.call.CallFrames;
import org.cuminlatch.wire.proto.call.CallFrame;

/** The way to the gate in the same process; what comes back takes a turn of the event loop. */
final class LocalLink implements TargetLink {

  private final EventLoop loop;
  private final SlotGate gate;
  private final CallChannel back = new BackChannel();
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
    gate.onFrame(back, frame);
  }

  @Override
  public void forget(AttemptId attempt) {
    listeners.remove(attempt);
  }

  private void deliver(CallFrame frame) {
    AttemptListener listener = listeners.get(CallFrames.attempt(frame));
    if (listener != null) {
      listener.received(frame);
    }
  }

  /** Carries the gate's frames to those who wait for them. */
  private final class BackChannel implements CallChannel {

    @Override
    public void send(CallFrame frame) {
      loop.execute(() -> deliver(frame));
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
}
