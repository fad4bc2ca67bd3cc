package org.cuminlatch.node.call;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.wire.call.CallChannel;
import org.cuminlatch.wire.call.CallFrameHandler;
import org.cuminlatch.wire.call.CallFrames;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.Ping;

/**
 * A connection to a target's node, with the attempts that use it.
 *
 * <p>Frames sent before the connection is open are buffered and sent once it is.
 */
final class PeerConnection implements CallFrameHandler {

  private final InstantSource clock;
  private final Map<AttemptId, OutgoingAttempt> attempts = new HashMap<>();
  private final List<CallFrame> unsentFrames = new ArrayList<>();
  private CallChannel channel;
  private boolean ended;
  private Instant lastReceivedAt = Instant.MIN;
  private Instant silentSince;
  private Instant lastUsedAt;
  private Instant pingedAt;

  PeerConnection(InstantSource clock) {
    this.clock = clock;
    this.silentSince = clock.instant();
    this.lastUsedAt = silentSince;
  }

  /** Adds an attempt and sends its first frame; returns false if the connection has ended. */
  boolean sendFirst(OutgoingAttempt attempt, CallFrame firstFrame) {
    synchronized (this) {
      if (ended) {
        return false;
      }
      lastUsedAt = clock.instant();
      if (attempts.isEmpty()) {
        silentSince = lastUsedAt;
      }
      attempts.put(attempt.id(), attempt);
      attempt.setConnection(this);
    }
    send(firstFrame);
    return true;
  }

  void send(CallFrame frame) {
    CallChannel openChannel;
    synchronized (this) {
      openChannel = channel;
      if (openChannel == null && !ended) {
        unsentFrames.add(frame);
      }
    }
    if (openChannel != null) {
      openChannel.send(frame);
    }
  }

  synchronized void removeAttempt(OutgoingAttempt attempt) {
    attempts.remove(attempt.id(), attempt);
    lastUsedAt = clock.instant();
  }

  synchronized void onOpened(CallChannel openedChannel) {
    if (ended) {
      openedChannel.close();
      return;
    }
    channel = openedChannel;
    silentSince = clock.instant();
    unsentFrames.forEach(openedChannel::send);
    unsentFrames.clear();
  }

  @Override
  public void onFrame(CallChannel from, CallFrame frame) {
    OutgoingAttempt attempt;
    synchronized (this) {
      lastReceivedAt = clock.instant();
      silentSince = lastReceivedAt;
      pingedAt = null;
      attempt = attempts.get(CallFrames.attempt(frame));
    }
    if (attempt != null && frame.getKindCase() != CallFrame.KindCase.PONG) {
      attempt.addEvent(new AttemptEvent.FrameReceived(frame));
    }
  }

  @Override
  public void onClosed(CallChannel from) {
    end(false);
  }

  /** Closes the connection and notifies its attempts that it was lost. */
  void end(boolean peerFailed) {
    List<OutgoingAttempt> lost;
    boolean maybeReceived;
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
      maybeReceived = channel != null;
      lost = List.copyOf(attempts.values());
      attempts.clear();
      unsentFrames.clear();
      if (channel != null) {
        channel.close();
      }
    }
    lost.forEach(
        attempt -> attempt.addEvent(new AttemptEvent.ConnectionLost(maybeReceived, peerFailed)));
  }

  synchronized boolean isUsable() {
    return !ended;
  }

  synchronized boolean isOpen() {
    return channel != null && !ended;
  }

  synchronized boolean hasAttempts() {
    return !attempts.isEmpty();
  }

  synchronized Duration silentFor(Instant now) {
    return Duration.between(silentSince, now);
  }

  synchronized Duration unusedFor(Instant now) {
    return Duration.between(lastUsedAt, now);
  }

  synchronized boolean hasReceivedSince(Instant time) {
    return lastReceivedAt.isAfter(time);
  }

  synchronized boolean isPinged() {
    return pingedAt != null;
  }

  synchronized Duration pingedFor(Instant now) {
    return pingedAt == null ? Duration.ZERO : Duration.between(pingedAt, now);
  }

  void ping(Instant now) {
    synchronized (this) {
      pingedAt = now;
    }
    send(CallFrame.newBuilder().setPing(Ping.getDefaultInstance()).build());
  }

  /** Restarts all timers after a pause of this process, which must not count against the peer. */
  synchronized void restartTimers(Instant now) {
    silentSince = now;
    pingedAt = pingedAt == null ? null : now;
  }
}
