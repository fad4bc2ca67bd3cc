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
 * A connection to the node beside a target, with the attempts that it carries.
 *
 * <p>Frames sent before the connection stands are kept and sent once it does.
 */
final class PeerConnection implements CallFrameHandler {

  private final InstantSource clock;
  private final Map<AttemptId, OutgoingAttempt> attempts = new HashMap<>();
  private final List<CallFrame> unsent = new ArrayList<>();
  private CallChannel channel;
  private boolean ended;
  private Instant receivedAt = Instant.MIN;
  private Instant quietSince;
  private Instant usedAt;
  private Instant pingedAt;

  PeerConnection(InstantSource clock) {
    this.clock = clock;
    this.quietSince = clock.instant();
    this.usedAt = quietSince;
  }

  /** Carries an attempt and sends its first frame; returns false if the connection has ended. */
  boolean carry(OutgoingAttempt attempt, CallFrame first) {
    synchronized (this) {
      if (ended) {
        return false;
      }
      usedAt = clock.instant();
      if (attempts.isEmpty()) {
        quietSince = usedAt;
      }
      attempts.put(attempt.id(), attempt);
      attempt.carriedBy(this);
    }
    send(first);
    return true;
  }

  void send(CallFrame frame) {
    CallChannel open;
    synchronized (this) {
      open = channel;
      if (open == null && !ended) {
        unsent.add(frame);
      }
    }
    if (open != null) {
      open.send(frame);
    }
  }

  synchronized void release(OutgoingAttempt attempt) {
    attempts.remove(attempt.id(), attempt);
    usedAt = clock.instant();
  }

  synchronized void opened(CallChannel opened) {
    if (ended) {
      opened.close();
      return;
    }
    channel = opened;
    quietSince = clock.instant();
    unsent.forEach(opened::send);
    unsent.clear();
  }

  @Override
  public void onFrame(CallChannel from, CallFrame frame) {
    OutgoingAttempt attempt;
    synchronized (this) {
      receivedAt = clock.instant();
      quietSince = receivedAt;
      pingedAt = null;
      attempt = attempts.get(CallFrames.attempt(frame));
    }
    if (attempt != null && frame.getKindCase() != CallFrame.KindCase.PONG) {
      attempt.add(new AttemptEvent.Arrived(frame));
    }
  }

  @Override
  public void onClosed(CallChannel from) {
    end(false);
  }

  /** Ends the connection; its attempts learn that it was lost. */
  void end(boolean blamed) {
    List<OutgoingAttempt> lost;
    boolean begun;
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
      begun = channel != null;
      lost = List.copyOf(attempts.values());
      attempts.clear();
      unsent.clear();
      if (channel != null) {
        channel.close();
      }
    }
    lost.forEach(attempt -> attempt.add(new AttemptEvent.ConnectionLost(begun, blamed)));
  }

  synchronized boolean isUsable() {
    return !ended;
  }

  synchronized boolean isOpen() {
    return channel != null && !ended;
  }

  synchronized boolean carriesAttempts() {
    return !attempts.isEmpty();
  }

  synchronized Duration quietFor(Instant now) {
    return Duration.between(quietSince, now);
  }

  synchronized Duration unusedFor(Instant now) {
    return Duration.between(usedAt, now);
  }

  synchronized boolean hasReceivedSince(Instant time) {
    return receivedAt.isAfter(time);
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

  /** Forgives the time in which this process itself stood still. */
  synchronized void forgive(Instant now) {
    quietSince = now;
    pingedAt = pingedAt == null ? null : now;
  }
}
