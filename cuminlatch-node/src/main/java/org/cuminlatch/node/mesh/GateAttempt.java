package org.cuminlatch.node.mesh;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminlatch.core.admission.GoalQueue;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.node.http.ClientCall;
import org.cuminlatch.node.http.ClientResponse;
import org.cuminlatch.wire.call.CallChannel;
import org.cuminlatch.wire.call.CallFrames;
import org.cuminlatch.wire.proto.call.Answer;
import org.cuminlatch.wire.proto.call.Begin;
import org.cuminlatch.wire.proto.call.Body;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.Header;
import org.cuminlatch.wire.proto.call.Load;

/** An attempt at the gate of its target, from its first frame to the last byte of its answer. */
final class GateAttempt {

  private static final int MAX_PART_BYTES = 64 * 1024;

  private final AttemptId id;
  private final Begin begin;
  private final CallChannel origin;
  private final Instant arrivedAt;
  private final Instant deadline;
  private final Optional<GateUpload> upload;
  private Instant dispatchedAt;
  private GoalQueue queue;
  private ClientCall call;
  private Future<?> timer;
  private byte[] answer;
  private int answerSent;
  private long credit;

  GateAttempt(AttemptId id, Begin begin, CallChannel origin, Instant now) {
    this.id = id;
    this.begin = begin;
    this.origin = origin;
    this.arrivedAt = now;
    this.deadline = now.plus(Duration.ofNanos(begin.getDeadlineMicros() * 1000));
    this.upload = begin.getBodyComplete() ? Optional.empty() : Optional.of(new GateUpload(this));
    this.credit = begin.getCredit();
  }

  AttemptId id() {
    return id;
  }

  Begin begin() {
    return begin;
  }

  CallChannel origin() {
    return origin;
  }

  Instant deadline() {
    return deadline;
  }

  Instant arrivedAt() {
    return arrivedAt;
  }

  byte[] body() {
    return begin.getBody().toByteArray();
  }

  /** Returns the body if the entry node sends it in parts. */
  Optional<GateUpload> upload() {
    return upload;
  }

  /** Returns whether any byte of the request may have been sent to the target. */
  boolean isSent() {
    return isDispatched() && upload.map(GateUpload::isStarted).orElse(true);
  }

  /** Returns whether the attempt waits for the entry node, not for the target. */
  boolean awaitsSender() {
    return upload.filter(GateUpload::awaitsSender).isPresent();
  }

  boolean isDispatched() {
    return dispatchedAt != null;
  }

  Instant dispatchedAt() {
    return dispatchedAt;
  }

  void markDispatched(Instant now, GoalQueue slotQueue) {
    dispatchedAt = now;
    queue = slotQueue;
  }

  /** Returns the queue whose slot the attempt holds. */
  GoalQueue queue() {
    return queue;
  }

  void setCall(ClientCall runningCall, Future<?> deadlineTimer) {
    call = runningCall;
    timer = deadlineTimer;
  }

  /**
   * Returns whether the attempt should be ended if the target is silent and unreachable, so that
   * another target can execute it. Its answer is awaited if it has begun, or if the request can't
   * be repeated, as the target may be heard again before the deadline.
   */
  boolean isBetterRepeated() {
    return isDispatched()
        && begin.getIdempotent()
        && upload.isEmpty()
        && answer == null
        && call != null
        && !call.hasResponseStarted();
  }

  void cancelCall() {
    if (call != null) {
      call.cancel();
    }
    stopTimer();
  }

  void stopTimer() {
    if (timer != null) {
      timer.cancel(false);
    }
  }

  /** Starts to send an answer, as far as the attempt's credit allows. */
  void sendAnswer(ClientResponse response, List<Map.Entry<String, String>> headers, Load load) {
    answer = response.body();
    Answer.Builder head = Answer.newBuilder().setStatus(response.status());
    List<Header> answerHeaders = new ArrayList<>(headers.size());
    headers.forEach(
        entry ->
            answerHeaders.add(
                Header.newBuilder().setName(entry.getKey()).setValue(entry.getValue()).build()));
    ByteString first = nextPart();
    head.addAllHeaders(answerHeaders)
        .setContentLength(answer.length)
        .setBody(first)
        .setLast(isAnswerSent())
        .setLoad(load);
    origin.send(CallFrames.of(id).setAnswer(head).build());
    sendParts();
  }

  void addCredit(long bytes) {
    credit += bytes;
    if (answer != null) {
      sendParts();
    }
  }

  /** Returns the size of the part of the answer that waits for credit. */
  int waitingBytes() {
    return answer == null ? 0 : answer.length - answerSent;
  }

  /** Returns whether the target has answered; the rest of the request's body is dropped then. */
  boolean isAnswered() {
    return answer != null;
  }

  boolean isAnswerSent() {
    return answer != null && answerSent == answer.length;
  }

  private void sendParts() {
    while (!isAnswerSent() && credit > 0) {
      ByteString part = nextPart();
      CallFrame frame =
          CallFrames.of(id)
              .setBody(Body.newBuilder().setContent(part).setLast(isAnswerSent()))
              .build();
      origin.send(frame);
    }
  }

  private ByteString nextPart() {
    int length = (int) Math.min(Math.min(MAX_PART_BYTES, answer.length - answerSent), credit);
    ByteString part = UnsafeByteOperations.unsafeWrap(answer, answerSent, length);
    answerSent += length;
    credit -= length;
    return part;
  }
}
