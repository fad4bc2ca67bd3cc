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

/** Link to the gate of another node over one connection, which is reopened when it is lost. */
final class PeerLink implements TargetLink {

  private final Address address;
  private final Map<AttemptId, AttemptListener> listeners = new HashMap<>();
  private CallChannel channel;
  private TargetStatus status;
  private boolean connecting;
  private boolean suspect;
  private int failures;
  private long connectAfterNanos = System.nanoTime();
  private long lastFrameNanos;
  private long lastPingNanos;

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
  public void unregister(AttemptId attempt) {
    listeners.remove(attempt);
  }

  void dispatch(CallFrame frame, AttemptId attempt) {
    AttemptListener listener = listeners.get(attempt);
    if (listener != null) {
      listener.onFrame(frame);
    }
  }

  void markSuspect() {
    suspect = true;
  }

  boolean isSuspect() {
    return suspect;
  }

  void onFrameReceived() {
    suspect = false;
    lastFrameNanos = System.nanoTime();
  }

  /** Returns the time since the last frame or, if that is shorter, since the connection opened. */
  long silentNanos() {
    return System.nanoTime() - lastFrameNanos;
  }

  long nanosSincePing() {
    return System.nanoTime() - lastPingNanos;
  }

  void onPingSent() {
    lastPingNanos = System.nanoTime();
  }

  boolean hasAttempts() {
    return !listeners.isEmpty();
  }

  boolean isOpen() {
    return channel != null;
  }

  boolean mayConnect() {
    return channel == null && !connecting && System.nanoTime() - connectAfterNanos >= 0;
  }

  void markConnecting() {
    connecting = true;
  }

  void onConnected(CallChannel newChannel) {
    connecting = false;
    failures = 0;
    channel = newChannel;
    onFrameReceived();
  }

  /** Records that the connection could not be opened; the next attempt follows after the delay. */
  void onConnectFailed(Duration delay) {
    connecting = false;
    failures++;
    connectAfterNanos = System.nanoTime() + delay.toNanos();
  }

  int failures() {
    return failures;
  }

  boolean uses(CallChannel other) {
    return channel == other;
  }

  /** Closes the connection and notifies the listeners of all outstanding attempts. */
  void disconnect() {
    final CallChannel oldChannel = channel;
    channel = null;
    status = null;
    connectAfterNanos = System.nanoTime();
    if (oldChannel != null) {
      oldChannel.close();
    }
    List<AttemptListener> outstanding = new ArrayList<>(listeners.values());
    listeners.clear();
    outstanding.forEach(AttemptListener::onLinkLost);
  }

  void setStatus(TargetStatus newStatus) {
    status = newStatus;
  }

  Optional<TargetStatus> status() {
    return Optional.ofNullable(status);
  }
}
