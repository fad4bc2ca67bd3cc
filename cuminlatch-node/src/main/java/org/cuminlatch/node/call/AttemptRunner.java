package org.cuminlatch.node.call;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.cuminlatch.core.route.ReportedLoad;
import org.cuminlatch.core.route.TargetLoads;
import org.cuminlatch.node.call.AttemptResult.LocalReason;
import org.cuminlatch.wire.call.CallFrames;
import org.cuminlatch.wire.proto.call.Answer;
import org.cuminlatch.wire.proto.call.Begin;
import org.cuminlatch.wire.proto.call.Body;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.Credit;
import org.cuminlatch.wire.proto.call.Load;

/** Runs one attempt on the thread of its call: sends the body and forwards the answer. */
final class AttemptRunner {

  static final Duration DEADLINE_GRACE = Duration.ofMillis(200);
  static final Duration CANCEL_TIMEOUT = Duration.ofMillis(300);
  static final int MAX_REJOINS = 2;

  private final PeerPool pool;
  private final TargetLoads loads;
  private final InstantSource clock;
  private final OutgoingAttempt attempt;
  private final CallerRequest request;
  private final CallerAnswerWriter answer;
  private final BodyUpload upload;
  private final Instant deadline;
  private long bytesTransferred;
  private int status;
  private int rejoins;
  private boolean cancelled;

  AttemptRunner(
      PeerPool pool,
      TargetLoads loads,
      InstantSource clock,
      OutgoingAttempt attempt,
      CallerRequest request,
      CallerAnswerWriter answer,
      BodyUpload upload,
      Instant deadline) {
    this.pool = pool;
    this.loads = loads;
    this.clock = clock;
    this.attempt = attempt;
    this.request = request;
    this.answer = answer;
    this.upload = upload;
    this.deadline = deadline;
  }

  long bytesTransferred() {
    return bytesTransferred;
  }

  /**
   * Runs the attempt until it has a result.
   *
   * @throws IOException if the caller has disconnected or its answer can't be completed
   */
  AttemptResult run(Begin begin) throws IOException, InterruptedException {
    bytesTransferred += begin.getBody().size();
    pool.begin(attempt, CallFrames.of(attempt.id()).setBegin(begin).build());
    try {
      return await();
    } catch (IOException callerGone) {
      pool.cancel(attempt);
      throw callerGone;
    } finally {
      attempt.connection().removeAttempt(attempt);
    }
  }

  private AttemptResult await() throws IOException, InterruptedException {
    Instant waitUntil = deadline.plus(DEADLINE_GRACE);
    Optional<AttemptResult> result = Optional.empty();
    while (result.isEmpty()) {
      Optional<AttemptEvent> event =
          attempt.nextEvent(Duration.between(clock.instant(), waitUntil));
      if (event.isPresent()) {
        result = handle(event.get());
      } else if (cancelled) {
        result = Optional.of(AttemptResult.noAnswer());
      } else {
        cancel();
        waitUntil = clock.instant().plus(CANCEL_TIMEOUT);
      }
    }
    if (answer.isStarted() && result.get().reason() != LocalReason.ANSWERED) {
      throw new IOException("the answer ended before it was complete: " + result.get().reason());
    }
    return result.get();
  }

  private void cancel() {
    cancelled = true;
    pool.cancel(attempt);
  }

  private Optional<AttemptResult> handle(AttemptEvent event) throws IOException {
    if (event instanceof AttemptEvent.FrameReceived received) {
      return handle(received.frame());
    }
    if (event instanceof AttemptEvent.ConnectionLost lost) {
      return onConnectionLost(lost);
    }
    cancel();
    return Optional.of(AttemptResult.cancelled(false, LocalReason.PARENT_ENDED));
  }

  private Optional<AttemptResult> handle(CallFrame frame) throws IOException {
    return switch (frame.getKindCase()) {
      case ANSWER -> onAnswer(frame.getAnswer());
      case BODY -> onBodyPart(frame.getBody());
      case CREDIT -> onCredit(frame.getCredit().getBytes());
      case REFUSAL -> {
        recordLoad(frame.getRefusal().getLoad());
        yield Optional.of(AttemptResult.refused(frame.getRefusal().getReason()));
      }
      case FAILURE -> {
        recordLoad(frame.getFailure().getLoad());
        yield Optional.of(AttemptResult.failed(frame.getFailure().getReason()));
      }
      case CANCELLED ->
          Optional.of(
              AttemptResult.cancelled(frame.getCancelled().getNotRun(), LocalReason.NOT_KNOWN));
      default -> Optional.empty();
    };
  }

  private Optional<AttemptResult> onAnswer(Answer head) throws IOException {
    status = head.getStatus();
    answer.start(head, attempt.target());
    return write(head.getBody(), head.getLast(), head.getLoad());
  }

  private Optional<AttemptResult> onBodyPart(Body part) throws IOException {
    return write(part.getContent(), part.getLast(), part.getLoad());
  }

  private Optional<AttemptResult> write(
      com.google.protobuf.ByteString content, boolean last, Load load) throws IOException {
    bytesTransferred += content.size();
    answer.write(content, !last);
    if (last) {
      recordLoad(load);
      return Optional.of(AttemptResult.answered(status));
    }
    if (!content.isEmpty()) {
      Credit credit = Credit.newBuilder().setBytes(content.size()).build();
      attempt.connection().send(CallFrames.of(attempt.id()).setCredit(credit).build());
    }
    return Optional.empty();
  }

  private Optional<AttemptResult> onCredit(int credit) throws IOException {
    upload.addCredit(credit);
    while (upload.maySend()) {
      Body part = upload.nextPart(request);
      bytesTransferred += part.getContent().size();
      attempt.connection().send(CallFrames.of(attempt.id()).setBody(part).build());
    }
    return Optional.empty();
  }

  private Optional<AttemptResult> onConnectionLost(AttemptEvent.ConnectionLost lost) {
    boolean maybeReceived = lost.maybeReceived() || rejoins > 0;
    if (!maybeReceived) {
      return Optional.of(AttemptResult.unreachable(false));
    }
    if (lost.peerFailed()) {
      return Optional.of(AttemptResult.unreachable(true));
    }
    if (answer.isStarted() || !upload.isComplete() || rejoins == MAX_REJOINS) {
      return Optional.of(AttemptResult.connectionLost());
    }
    rejoins++;
    pool.rejoin(attempt);
    return Optional.empty();
  }

  private void recordLoad(Load load) {
    if (load.getLimit() > 0) {
      ReportedLoad reportedLoad =
          new ReportedLoad(load.getBusy(), load.getQueued(), load.getLimit());
      loads.recordReport(attempt.target().instance(), reportedLoad, clock.instant());
    }
  }
}
