package org.cuminlatch.node.call;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.cuminlatch.core.admission.SlotDecision;
import org.cuminlatch.core.admission.SlotEnd;
import org.cuminlatch.core.admission.SlotQueue;
import org.cuminlatch.core.admission.SlotRequest;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.move.CallOutcome.Result;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.core.retry.AttemptOutcome;
import org.cuminlatch.core.retry.IdempotencyKey;
import org.cuminlatch.core.retry.IdempotencyTable;
import org.cuminlatch.core.route.ReportedLoad;
import org.cuminlatch.wire.call.CallChannel;
import org.cuminlatch.wire.call.CallFrameHandler;
import org.cuminlatch.wire.call.CallFrames;
import org.cuminlatch.wire.proto.call.Begin;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.FailureReason;
import org.cuminlatch.wire.proto.call.Load;
import org.cuminlatch.wire.proto.call.RefusalReason;

/**
 * Receives attempts for the local target from other nodes and from this one, assigns slots to them
 * and runs them at the target.
 *
 * <p>All operations identify an attempt by its id and are idempotent: a repeated begin frame, a
 * late answer, a late cancellation and a second release have no effect. State is guarded by one
 * lock; frames are sent and requests are run outside the lock.
 */
final class TargetGate implements CallFrameHandler {

  static final Duration REJOIN_GRACE = Duration.ofSeconds(2);

  private final TargetClient client;
  private final ConnectionLimit connectionLimit;
  private final Supplier<Member> self;
  private final InstantSource clock;
  private final OutcomeReporter outcomeReporter;
  private final Object lock = new Object();
  private final SlotQueue slots;
  private final Map<AttemptId, RunningAttempt> attempts = new HashMap<>();
  private final EndedAttempts ended;
  private final IdempotencyKeyGuard keyGuard;
  private boolean draining;

  TargetGate(CallPathSettings settings, TargetClient client, CallPathDependencies dependencies) {
    this.client = client;
    this.connectionLimit = new ConnectionLimit(settings.maxTargetConnections());
    this.self = dependencies.self();
    this.clock = dependencies.clock();
    this.outcomeReporter = new OutcomeReporter(dependencies.outcomeListener(), self, clock);
    this.slots = new SlotQueue(settings.slots());
    this.ended = new EndedAttempts(clock.instant());
    this.keyGuard = new IdempotencyKeyGuard(dependencies);
  }

  @Override
  public void onFrame(CallChannel channel, CallFrame frame) {
    AttemptId id = CallFrames.attempt(frame);
    switch (frame.getKindCase()) {
      case BEGIN -> begin(channel, id, frame.getBegin());
      case BODY ->
          find(id)
              .ifPresent(
                  attempt ->
                      attempt.addBodyPart(
                          frame.getBody().getContent().asReadOnlyByteBuffer(),
                          frame.getBody().getLast(),
                          clock.instant()));
      case CREDIT ->
          find(id)
              .ifPresent(
                  attempt ->
                      attempt.grantAnswerCredit(frame.getCredit().getBytes(), clock.instant()));
      case CANCEL -> cancel(channel, id, micros(frame.getCancel().getAgeMicros()));
      case REJOIN -> rejoin(channel, id, micros(frame.getRejoin().getAgeMicros()));
      case PING -> channel.send(GateFrames.pong(frame.getPing()));
      default -> channel.close();
    }
  }

  private static Duration micros(long count) {
    return Duration.ofNanos(count * 1000);
  }

  @Override
  public void onClosed(CallChannel channel) {
    Instant now = clock.instant();
    synchronized (lock) {
      attempts.values().forEach(attempt -> attempt.onChannelClosed(channel, now));
    }
  }

  /** Returns a queued or running attempt, such as the parent of a call made by the target. */
  Optional<RunningAttempt> find(AttemptId id) {
    synchronized (lock) {
      return Optional.ofNullable(attempts.get(id));
    }
  }

  private void begin(CallChannel channel, AttemptId id, Begin begin) {
    Instant now = clock.instant();
    RunningAttempt attempt = new RunningAttempt(id, begin, channel, now);
    Optional<RefusalReason> refusal;
    List<Runnable> deferredActions = new ArrayList<>();
    synchronized (lock) {
      if (attempts.containsKey(id) || ended.contains(id)) {
        return;
      }
      refusal = refusalReason(begin);
      if (refusal.isPresent()) {
        refuse(attempt, refusal.get(), now, deferredActions);
      } else if (mayRun(channel, attempt, now, deferredActions)) {
        attempts.put(id, attempt);
        SlotRequest request = new SlotRequest(id, begin.getRoute(), attempt.deadline());
        apply(new SlotDecision(id, slots.offer(request, now)), now, deferredActions);
      }
    }
    deferredActions.forEach(Runnable::run);
  }

  private Optional<RefusalReason> refusalReason(Begin begin) {
    if (draining) {
      return Optional.of(RefusalReason.DRAINING);
    }
    Member selfMember = self.get();
    if (selfMember.phase() == Member.Phase.STARTING) {
      return Optional.of(RefusalReason.NOT_SERVING);
    }
    if (selfMember.phase() != Member.Phase.SERVING) {
      return Optional.of(RefusalReason.DRAINING);
    }
    boolean matches =
        selfMember.targetVersion().equals(begin.getTargetVersion())
            && selfMember.service().equals(begin.getService());
    return matches ? Optional.empty() : Optional.of(RefusalReason.WRONG_VERSION);
  }

  /** Returns whether the attempt has no Idempotency-Key or its key allows it to run. */
  private boolean mayRun(
      CallChannel channel, RunningAttempt attempt, Instant now, List<Runnable> deferredActions) {
    Optional<IdempotencyKey> key = IdempotencyKeyGuard.key(attempt.begin());
    if (key.isEmpty()) {
      return true;
    }
    keyGuard.observe(now);
    Optional<Instant> ownedSince = keyGuard.ownedSince(attempt.begin());
    if (ownedSince.isEmpty()) {
      refuse(attempt, RefusalReason.NOT_KEY_OWNER, now, deferredActions);
      return false;
    }
    IdempotencyTable.Claim claim = keyGuard.claim(key.get(), attempt.id(), ownedSince.get(), now);
    if (claim.decision() != IdempotencyTable.Decision.RUN) {
      CallFrame reply = IdempotencyKeyGuard.reply(attempt.id(), claim, ended, load());
      ended.recordOutcome(attempt.id(), AttemptOutcome.UNKNOWN, now);
      deferredActions.add(() -> channel.send(reply));
    }
    return claim.decision() == IdempotencyTable.Decision.RUN;
  }

  private void apply(SlotDecision decision, Instant now, List<Runnable> deferredActions) {
    RunningAttempt attempt = attempts.get(decision.attempt());
    switch (decision.kind()) {
      case ADMITTED -> {
        attempt.admit(now);
        deferredActions.add(() -> run(attempt));
      }
      case QUEUED -> {}
      default -> {
        attempts.remove(attempt.id());
        refuse(attempt, GateFrames.reason(decision.kind()), now, deferredActions);
      }
    }
  }

  private void refuse(
      RunningAttempt attempt, RefusalReason reason, Instant now, List<Runnable> deferredActions) {
    CallFrame frame = GateFrames.refusal(attempt.id(), reason, load());
    ended.recordOutcome(attempt.id(), AttemptOutcome.NOT_RUN, now);
    ended.storeAnswer(attempt.id(), frame);
    keyGuard.releaseKey(attempt);
    deferredActions.add(() -> attempt.send(frame));
    deferredActions.add(() -> outcomeReporter.reportNotRun(attempt));
  }

  private void run(RunningAttempt attempt) {
    if (!connectionLimit.tryAcquire()) {
      refuseAdmitted(attempt, RefusalReason.TARGET_UNREACHABLE, SlotEnd.OTHER);
      return;
    }
    String token = new AttemptToken(attempt.id(), attempt.treePosition()).format();
    TargetAnswerSubscriber answer =
        new TargetAnswerSubscriber(
            token, attempt.begin().getCredit(), new AnswerForwarder(this, attempt, clock));
    attempt.setAnswer(answer);
    Duration timeLeft = Duration.between(clock.instant(), attempt.deadline());
    CompletableFuture<HttpResponse<Void>> exchange;
    try {
      exchange = client.run(attempt, answer, timeLeft);
    } catch (IllegalArgumentException unsendable) {
      connectionLimit.release();
      refuseAdmitted(attempt, RefusalReason.UNSENDABLE, SlotEnd.OTHER);
      return;
    }
    exchange.whenComplete(
        (response, error) -> {
          connectionLimit.release();
          if (error != null) {
            onExchangeFailed(attempt, answer, error);
          }
        });
    attempt.setExchange(exchange);
  }

  private void onExchangeFailed(
      RunningAttempt attempt, TargetAnswerSubscriber answer, Throwable error) {
    if (TargetClient.provesNotRun(error)) {
      refuseAdmitted(attempt, RefusalReason.TARGET_UNREACHABLE, SlotEnd.OTHER);
    } else {
      FailureReason reason =
          answer.isCrossed() ? FailureReason.ANSWER_CROSSED : FailureReason.TARGET_BROKEN;
      fail(attempt, reason, SlotEnd.OTHER, Result.FAILURE);
    }
  }

  /** Ends an admitted attempt that was provably not run. */
  void refuseAdmitted(RunningAttempt attempt, RefusalReason reason, SlotEnd end) {
    finish(
        attempt,
        end,
        AttemptOutcome.NOT_RUN,
        Result.NOT_RUN,
        load -> GateFrames.refusal(attempt.id(), reason, load));
  }

  /** Ends an attempt that may have run. */
  void fail(RunningAttempt attempt, FailureReason reason, SlotEnd end, Result result) {
    finish(
        attempt,
        end,
        AttemptOutcome.UNKNOWN,
        result,
        load -> GateFrames.failure(attempt.id(), reason, load));
  }

  /** Ends an attempt; returns false, without any effect, if it has already ended. */
  boolean finish(
      RunningAttempt attempt,
      SlotEnd end,
      AttemptOutcome outcome,
      Result result,
      LastFrameFactory lastFrame) {
    Instant now = clock.instant();
    List<Runnable> deferredActions = new ArrayList<>();
    synchronized (lock) {
      if (!attempts.remove(attempt.id(), attempt)) {
        return false;
      }
      final Duration slotTime = slots.release(attempt.id(), end, now).orElse(Duration.ZERO);
      ended.recordOutcome(attempt.id(), outcome, now);
      if (outcome == AttemptOutcome.NOT_RUN) {
        keyGuard.releaseKey(attempt);
      }
      List<SlotDecision> next = slots.poll(now);
      CallFrame frame = lastFrame.create(load());
      if (frame.getKindCase() != CallFrame.KindCase.BODY) {
        ended.storeAnswer(attempt.id(), frame);
      }
      deferredActions.add(() -> attempt.send(frame));
      next.forEach(decision -> apply(decision, now, deferredActions));
      deferredActions.add(() -> outcomeReporter.reportEnded(attempt, result, slotTime));
    }
    deferredActions.forEach(Runnable::run);
    return true;
  }

  private void cancel(CallChannel channel, AttemptId id, Duration age) {
    Instant now = clock.instant();
    boolean notRun;
    RunningAttempt running;
    synchronized (lock) {
      running = attempts.get(id);
      if (running != null && withdraw(running, now)) {
        running = null;
      }
      notRun = running == null && ended.provesNotRun(id, age, now);
    }
    if (running == null) {
      channel.send(GateFrames.cancelled(id, notRun));
    } else {
      stop(running, SlotEnd.OTHER, Result.CALLER_ERROR);
    }
  }

  private boolean withdraw(RunningAttempt attempt, Instant now) {
    if (!slots.withdraw(attempt.id())) {
      return false;
    }
    attempts.remove(attempt.id());
    ended.recordOutcome(attempt.id(), AttemptOutcome.NOT_RUN, now);
    keyGuard.releaseKey(attempt);
    return true;
  }

  private void stop(RunningAttempt attempt, SlotEnd end, Result result) {
    boolean stopped =
        finish(
            attempt,
            end,
            AttemptOutcome.UNKNOWN,
            result,
            load -> GateFrames.cancelled(attempt.id(), false));
    if (stopped) {
      attempt.stop();
    }
  }

  private void rejoin(CallChannel channel, AttemptId id, Duration age) {
    Instant now = clock.instant();
    CallFrame reply = null;
    RunningAttempt unrecoverable = null;
    synchronized (lock) {
      RunningAttempt running = attempts.get(id);
      if (running != null) {
        running.rejoin(channel);
        unrecoverable = running.canRejoin() ? null : running;
      } else {
        reply =
            ended
                .answer(id)
                .orElseGet(() -> GateFrames.cancelled(id, ended.provesNotRun(id, age, now)));
      }
    }
    if (unrecoverable != null) {
      stop(unrecoverable, SlotEnd.OTHER, Result.CALLER_ERROR);
    } else if (reply != null) {
      channel.send(reply);
    }
  }

  /** Refuses all queued and all new attempts; running attempts continue. */
  void drain() {
    Instant now = clock.instant();
    List<Runnable> deferredActions = new ArrayList<>();
    synchronized (lock) {
      draining = true;
      slots.drain().forEach(decision -> apply(decision, now, deferredActions));
    }
    deferredActions.forEach(Runnable::run);
  }

  /** Ends attempts whose deadline has passed or whose entry node has been disconnected too long. */
  void sweep(Instant now) {
    outcomeReporter.updateServingSince(now);
    List<Runnable> deferredActions = new ArrayList<>();
    List<RunningAttempt> expired;
    List<RunningAttempt> orphaned;
    synchronized (lock) {
      keyGuard.observe(now);
      slots.poll(now).forEach(decision -> apply(decision, now, deferredActions));
      expired = select(attempt -> attempt.isAdmitted() && !now.isBefore(attempt.deadline()));
      orphaned = select(attempt -> attempt.isOrphanedFor(REJOIN_GRACE, now));
    }
    deferredActions.forEach(Runnable::run);
    expired.forEach(this::failExpired);
    orphaned.forEach(this::stopOrphaned);
  }

  private List<RunningAttempt> select(Predicate<RunningAttempt> filter) {
    return attempts.values().stream().filter(filter).toList();
  }

  private void failExpired(RunningAttempt attempt) {
    fail(attempt, FailureReason.TARGET_TIMEOUT, SlotEnd.OVERLOADED, Result.FAILURE);
    attempt.stop();
  }

  private void stopOrphaned(RunningAttempt attempt) {
    synchronized (lock) {
      if (withdraw(attempt, clock.instant())) {
        return;
      }
    }
    stop(attempt, SlotEnd.OTHER, Result.CALLER_ERROR);
  }

  /** Returns the attempts for which the target has made no progress for longer than a limit. */
  List<RunningAttempt> stalled(Duration limit, Instant now) {
    synchronized (lock) {
      return select(attempt -> attempt.isStalledFor(limit, now));
    }
  }

  /**
   * Ends an attempt whose connection to the target is silent; the outcome is unknown and does not
   * count against the target.
   */
  void failSilentConnection(RunningAttempt attempt) {
    fail(attempt, FailureReason.CONNECTION_SILENT, SlotEnd.OTHER, Result.NOT_RUN);
    attempt.stop();
  }

  boolean isIdle() {
    synchronized (lock) {
      return attempts.isEmpty();
    }
  }

  ReportedLoad reportedLoad() {
    synchronized (lock) {
      return new ReportedLoad(slots.busy(), slots.queued(), slots.limit());
    }
  }

  private Load load() {
    return Load.newBuilder()
        .setBusy(slots.busy())
        .setQueued(slots.queued())
        .setLimit(slots.limit())
        .build();
  }

  /** Creates the last frame of an attempt with the load that remains after its end. */
  interface LastFrameFactory {

    CallFrame create(Load load);
  }
}
