package org.cuminlatch.node.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.wire.call.CallChannel;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.TargetStatus;

/** The way to the gate of another node over one connection that is opened anew when lost. */
final class PeerLink implements TargetLink {

  private final Address address;
  private final Map<AttemptId, AttemptListener> listeners = new HashMap<>();
  private CallChannel channel;
  private TargetStatus status;
  private boolean connecting;
  private boolean suspect;
  private int failures;
  private long dialAtNanos = System.nanoTime();
  private long heardAtNanos;
  private long pingedAtNanos;

  PeerLink(Address address) {
    this.address = address;
  }

  Address address() {
    return address;
  }

  @Override
  public void begin(AttemptId attempt, CallFrame begin, AttemptListener listener) {
    listeners.put(attempt, listener);
    send(begin);
  }

  @Override
  public void send(CallFrame frame) {
    if (channel != null) {
      channel.send(frame);
    }
  }

  @Override
  public void forget(AttemptId attempt) {
    listeners.remove(attempt);
  }

  void received(CallFrame frame, AttemptId attempt) {
    AttemptListener listener = listeners.get(attempt);
    if (listener != null) {
      listener.received(frame);
    }
  }

  void suspect() {
    suspect = true;
  }

  boolean isSuspect() {
    return suspect;
  }

  void heard() {
    suspect = false;
    heardAtNanos = System.nanoTime();
  }

  /** Returns the time since a frame came or, if that is shorter, since the connection opened. */
  long silentNanos() {
    return System.nanoTime() - heardAtNanos;
  }

  long nanosSincePing() {
    return System.nanoTime() - pingedAtNanos;
  }

  void pinged() {
    pingedAtNanos = System.nanoTime();
  }

  boolean hasAttempts() {
    return !listeners.isEmpty();
  }

  boolean isOpen() {
    return channel != null;
  }

  boolean mayDial() {
    return channel == null && !connecting && System.nanoTime() - dialAtNanos >= 0;
  }

  void dialling() {
    connecting = true;
  }

  void opened(CallChannel opened) {
    connecting = false;
    failures = 0;
    channel = opened;
    heard();
  }

  /** Notes that the connection could not be opened; the next try waits for the delay. */
  void notOpened(Duration delay) {
    connecting = false;
    failures++;
    dialAtNanos = System.nanoTime() + delay.toNanos();
  }

  int failures() {
    return failures;
  }

  boolean isOver(CallChannel other) {
    return channel == other;
  }

  /** Drops the connection and tells everybody who waits for an answer. */
  void lost() {
    final CallChannel old = channel;
    channel = null;
    status = null;
    dialAtNanos = System.nanoTime();
    if (old != null) {
      old.close();
    }
    List<AttemptListener> waiting = new ArrayList<>(listeners.values());
    listeners.clear();
    waiting.forEach(AttemptListener::linkLost);
  }

  void status(TargetStatus reported) {
    status = reported;
  }

  Optional<TargetStatus> status() {
    return Optional.ofNullable(status);
  }
}
