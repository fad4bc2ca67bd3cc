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

/** An attempt at the target's node, from its arrival to its end. */
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
  private volatile TargetAnswerSubscriber answer;
  private CompletableFuture<?> exchange;
  private boolean stopped;

  RunningAttempt(AttemptId id, Begin begin, CallChannel channel, Instant now) {
    this.id = id;
    this.begin = begin;
    this.channel = channel;
    this.deadline = now.plusNanos(begin.getDeadlineMicros() * 1000);
    this.bodyComplete = begin.getBodyComplete();
    this.progressedAt = now;
    this.body = new RequestBody(begin.getContentLength(), this::grantBodyCredit);
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

  CallTreePosition treePosition() {
    return new CallTreePosition(begin.getDepth(), begin.getRetried());
  }

  RequestBody body() {
    return body;
  }

  void addBodyPart(ByteBuffer part, boolean last, Instant now) {
    progressedAt = now;
    bodyComplete |= last;
    body.add(part, last);
  }

  void grantAnswerCredit(int bytes, Instant now) {
    progressedAt = now;
    TargetAnswerSubscriber currentAnswer = answer;
    if (currentAnswer != null) {
      currentAnswer.addCredit(bytes);
    }
  }

  private void grantBodyCredit(int bytes) {
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

  void recordProgress(Instant now) {
    progressedAt = now;
  }

  void markAnswerStarted() {
    answerStarted = true;
  }

  /** Returns whether the attempt may be ended so that the entry node retries it elsewhere. */
  boolean canRetryElsewhere() {
    return begin.getIdempotent() && !begin.getRetried() && !answerStarted;
  }

  boolean canRejoin() {
    return !answerStarted && bodyComplete;
  }

  void rejoin(CallChannel newChannel) {
    channel = newChannel;
    orphanedAt = Instant.MAX;
  }

  void onChannelClosed(CallChannel closedChannel, Instant now) {
    if (channel == closedChannel) {
      orphanedAt = now;
    }
  }

  boolean isOrphanedFor(Duration grace, Instant now) {
    return now.minus(grace).isAfter(orphanedAt);
  }

  /** Returns whether bytes from the target have been outstanding for longer than a time. */
  boolean isStalledFor(Duration time, Instant now) {
    TargetAnswerSubscriber currentAnswer = answer;
    return admitted
        && bodyComplete
        && currentAnswer != null
        && currentAnswer.isWaitingForTarget()
        && progressedAt.plus(time).isBefore(now);
  }

  void setAnswer(TargetAnswerSubscriber newAnswer) {
    answer = newAnswer;
  }

  /** Sets the HTTP exchange that runs the attempt; cancels it at once if the attempt has ended. */
  void setExchange(CompletableFuture<?> newExchange) {
    synchronized (this) {
      exchange = newExchange;
      if (!stopped) {
        return;
      }
    }
    newExchange.cancel(true);
  }

  /** Cancels the HTTP exchange and the calls that the target made for the attempt. */
  void stop() {
    CompletableFuture<?> exchangeToCancel;
    synchronized (this) {
      stopped = true;
      exchangeToCancel = exchange;
    }
    body.fail();
    TargetAnswerSubscriber currentAnswer = answer;
    if (currentAnswer != null) {
      currentAnswer.stop();
    }
    if (exchangeToCancel != null) {
      exchangeToCancel.cancel(true);
    }
    children.forEach(Runnable::run);
  }

  /** Registers the cancellation of a call that the target made for this attempt. */
  void addChild(Runnable cancellation) {
    children.add(cancellation);
  }

  void removeChild(Runnable cancellation) {
    children.remove(cancellation);
  }
}
