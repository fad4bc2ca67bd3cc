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

/** Carries one attempt on the thread of its call: body out, answer in. */
final class AttemptRunner {

  static final Duration DEADLINE_GRACE = Duration.ofMillis(200);
  static final Duration CANCEL_WAIT = Duration.ofMillis(300);
  static final int MOST_REJOINS = 2;

  private final PeerPool pool;
  private final TargetLoads loads;
  private final InstantSource clock;
  private final OutgoingAttempt attempt;
  private final CallerRequest request;
  private final CallerAnswer answer;
  private final UploadState upload;
  private final Instant deadline;
  private long bytesMoved;
  private int status;
  private int rejoins;
  private boolean cancelled;

  AttemptRunner(
      PeerPool pool,
      TargetLoads loads,
      InstantSource clock,
      OutgoingAttempt attempt,
      CallerRequest request,
      CallerAnswer answer,
      UploadState upload,
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

  long bytesMoved() {
    return bytesMoved;
  }

  /**
   * Runs the attempt to its end.
   *
   * @throws IOException if the caller is gone or its answer can't be finished
   */
  AttemptResult run(Begin begin) throws IOException, InterruptedException {
    bytesMoved += begin.getBody().size();
    pool.begin(attempt, CallFrames.of(attempt.id()).setBegin(begin).build());
    try {
      return await();
    } catch (IOException callerGone) {
      pool.cancel(attempt);
      throw callerGone;
    } finally {
      attempt.connection().release(attempt);
    }
  }

  private AttemptResult await() throws IOException, InterruptedException {
    Instant giveUp = deadline.plus(DEADLINE_GRACE);
    Optional<AttemptResult> result = Optional.empty();
    while (result.isEmpty()) {
      Optional<AttemptEvent> event = attempt.next(Duration.between(clock.instant(), giveUp));
      if (event.isPresent()) {
        result = take(event.get());
      } else if (cancelled) {
        result = Optional.of(AttemptResult.noAnswer());
      } else {
        cancel();
        giveUp = clock.instant().plus(CANCEL_WAIT);
      }
    }
    if (answer.isBegun() && result.get().reason() != LocalReason.ANSWERED) {
      throw new IOException("the answer was broken off: " + result.get().reason());
    }
    return result.get();
  }

  private void cancel() {
    cancelled = true;
    pool.cancel(attempt);
  }

  private Optional<AttemptResult> take(AttemptEvent event) throws IOException {
    if (event instanceof AttemptEvent.Arrived arrived) {
      return take(arrived.frame());
    }
    if (event instanceof AttemptEvent.ConnectionLost lost) {
      return lost(lost);
    }
    cancel();
    return Optional.of(AttemptResult.cancelled(false, LocalReason.PARENT_ENDED));
  }

  private Optional<AttemptResult> take(CallFrame frame) throws IOException {
    return switch (frame.getKindCase()) {
      case ANSWER -> answerBegins(frame.getAnswer());
      case BODY -> answerGoesOn(frame.getBody());
      case CREDIT -> sendMore(frame.getCredit().getBytes());
      case REFUSAL -> {
        learn(frame.getRefusal().getLoad());
        yield Optional.of(AttemptResult.refused(frame.getRefusal().getReason()));
      }
      case FAILURE -> {
        learn(frame.getFailure().getLoad());
        yield Optional.of(AttemptResult.failed(frame.getFailure().getReason()));
      }
      case CANCELLED ->
          Optional.of(
              AttemptResult.cancelled(frame.getCancelled().getNotRun(), LocalReason.NOT_KNOWN));
      default -> Optional.empty();
    };
  }

  private Optional<AttemptResult> answerBegins(Answer head) throws IOException {
    status = head.getStatus();
    answer.begin(head, attempt.target());
    return write(head.getBody(), head.getLast(), head.getLoad());
  }

  private Optional<AttemptResult> answerGoesOn(Body part) throws IOException {
    return write(part.getContent(), part.getLast(), part.getLoad());
  }

  private Optional<AttemptResult> write(
      com.google.protobuf.ByteString content, boolean last, Load load) throws IOException {
    bytesMoved += content.size();
    answer.write(content, !last);
    if (last) {
      learn(load);
      return Optional.of(AttemptResult.answered(status));
    }
    if (!content.isEmpty()) {
      Credit credit = Credit.newBuilder().setBytes(content.size()).build();
      attempt.connection().send(CallFrames.of(attempt.id()).setCredit(credit).build());
    }
    return Optional.empty();
  }

  private Optional<AttemptResult> sendMore(int credit) throws IOException {
    upload.grant(credit);
    while (upload.maySend()) {
      Body part = upload.next(request);
      bytesMoved += part.getContent().size();
      attempt.connection().send(CallFrames.of(attempt.id()).setBody(part).build());
    }
    return Optional.empty();
  }

  private Optional<AttemptResult> lost(AttemptEvent.ConnectionLost lost) {
    boolean begun = lost.begun() || rejoins > 0;
    if (!begun) {
      return Optional.of(AttemptResult.unreachable(false));
    }
    if (lost.blamed()) {
      return Optional.of(AttemptResult.unreachable(true));
    }
    if (answer.isBegun() || !upload.isComplete() || rejoins == MOST_REJOINS) {
      return Optional.of(AttemptResult.lost());
    }
    rejoins++;
    pool.rejoin(attempt);
    return Optional.empty();
  }

  private void learn(Load load) {
    if (load.getLimit() > 0) {
      ReportedLoad report = new ReportedLoad(load.getBusy(), load.getQueued(), load.getLimit());
      loads.recordReport(attempt.target().instance(), report, clock.instant());
    }
  }
}
