package org.cuminlatch.node.call;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.core.retry.CallTreePosition;
import org.cuminlatch.wire.call.CallChannel;
import org.cuminlatch.wire.call.CallFrames;
import org.cuminlatch.wire.proto.call.Begin;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.Credit;

/** An attempt as the node beside the target sees it, from its arrival to its end. */
final class RunningAttempt {

  private final AttemptId id;
  private final Begin begin;
  private final Instant deadline;
  private final RequestBody body;
  private final Set<Runnable> children = ConcurrentHashMap.newKeySet();
  private volatile CallChannel channel;
  private volatile boolean admitted;
  private volatile boolean answerStarted;
  private volatile boolean bodyComplete;
  private volatile Instant progressedAt;
  private volatile Instant orphanedAt = Instant.MAX;
  private volatile TargetAnswer answer;
  private CompletableFuture<?> exchange;
  private boolean stopped;

  RunningAttempt(AttemptId id, Begin begin, CallChannel channel, Instant now) {
    this.id = id;
    this.begin = begin;
    this.channel = channel;
    this.deadline = now.plusNanos(begin.getDeadlineMicros() * 1000);
    this.bodyComplete = begin.getBodyComplete();
    this.progressedAt = now;
    this.body = new RequestBody(begin.getContentLength(), this::grantToCaller);
    if (!bodyComplete) {
      body.add(begin.getBody().asReadOnlyByteBuffer(), false);
    }
  }

  AttemptId id() {
    return id;
  }

  Begin begin() {
    return begin;
  }

  Instant deadline() {
    return deadline;
  }

  CallTreePosition tree() {
    return new CallTreePosition(begin.getDepth(), begin.getRetried());
  }

  RequestBody body() {
    return body;
  }

  void addToBody(ByteBuffer part, boolean last, Instant now) {
    progressedAt = now;
    bodyComplete |= last;
    body.add(part, last);
  }

  void grantToTarget(int bytes, Instant now) {
    progressedAt = now;
    TargetAnswer present = answer;
    if (present != null) {
      present.grant(bytes);
    }
  }

  private void grantToCaller(int bytes) {
    if (!bodyComplete) {
      send(CallFrames.of(id).setCredit(Credit.newBuilder().setBytes(bytes)).build());
    }
  }

  void send(CallFrame frame) {
    channel.send(frame);
  }

  void admit(Instant now) {
    admitted = true;
    progressedAt = now;
  }

  boolean isAdmitted() {
    return admitted;
  }

  void progressed(Instant now) {
    progressedAt = now;
  }

  void answerStarted() {
    answerStarted = true;
  }

  /** Returns whether the attempt may be given up so that it is made elsewhere. */
  boolean canMove() {
    return begin.getIdempotent() && !begin.getRetried() && !answerStarted;
  }

  boolean canRejoin() {
    return !answerStarted && bodyComplete;
  }

  void rejoin(CallChannel fresh) {
    channel = fresh;
    orphanedAt = Instant.MAX;
  }

  void orphaned(CallChannel lost, Instant now) {
    if (channel == lost) {
      orphanedAt = now;
    }
  }

  boolean isOrphanedFor(Duration grace, Instant now) {
    return now.minus(grace).isAfter(orphanedAt);
  }

  /** Returns whether the target has owed bytes for longer than a time. */
  boolean isStalledFor(Duration time, Instant now) {
    TargetAnswer present = answer;
    return admitted
        && bodyComplete
        && present != null
        && present.isWaitingForTarget()
        && progressedAt.plus(time).isBefore(now);
  }

  void expects(TargetAnswer expected) {
    answer = expected;
  }

  /** Binds the HTTP exchange that runs the attempt; cancels it at once if the attempt has ended. */
  void runs(CompletableFuture<?> running) {
    synchronized (this) {
      exchange = running;
      if (!stopped) {
        return;
      }
    }
    running.cancel(true);
  }

  /** Stops the HTTP exchange and the calls that the target made for it. */
  void stop() {
    CompletableFuture<?> running;
    synchronized (this) {
      stopped = true;
      running = exchange;
    }
    body.fail();
    TargetAnswer present = answer;
    if (present != null) {
      present.stop();
    }
    if (running != null) {
      running.cancel(true);
    }
    children.forEach(Runnable::run);
  }

  /** Registers what ends a call that the target made for this attempt. */
  void addChild(Runnable end) {
    children.add(end);
  }

  void removeChild(Runnable end) {
    children.remove(end);
  }
}
