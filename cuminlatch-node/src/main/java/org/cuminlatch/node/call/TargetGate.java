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
 * Takes forwarded attempts for the target beside the node, gives them slots and runs them.
 *
 * <p>Everything about an attempt is matched by its identity: a repeated beginning, a late answer, a
 * late cancellation and a second release change nothing. State is guarded by one lock; frames are
 * sent and requests run outside it.
 */
final class TargetGate implements CallFrameHandler {

  static final Duration REJOIN_GRACE = Duration.ofSeconds(2);

  private final TargetClient client;
  private final ConnectionLimit connections;
  private final Supplier<Member> self;
  private final InstantSource clock;
  private final OutcomeReport outcomes;
  private final Object lock = new Object();
  private final SlotQueue slots;
  private final Map<AttemptId, RunningAttempt> attempts = new HashMap<>();
  private final EndedAttempts ended;
  private final KeyGuard keys;
  private boolean draining;

  TargetGate(CallPathSettings settings, TargetClient client, CallPathInputs inputs) {
    this.client = client;
    this.connections = new ConnectionLimit(settings.connectionLimit());
    this.self = inputs.self();
    this.clock = inputs.clock();
    this.outcomes = new OutcomeReport(inputs.observer(), self, clock);
    this.slots = new SlotQueue(settings.slots());
    this.ended = new EndedAttempts(clock.instant());
    this.keys = new KeyGuard(inputs);
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
                      attempt.addToBody(
                          frame.getBody().getContent().asReadOnlyByteBuffer(),
                          frame.getBody().getLast(),
                          clock.instant()));
      case CREDIT ->
          find(id)
              .ifPresent(
                  attempt -> attempt.grantToTarget(frame.getCredit().getBytes(), clock.instant()));
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
      attempts.values().forEach(attempt -> attempt.orphaned(channel, now));
    }
  }

  /** Returns a running attempt, as the parent of a call that the target makes for it. */
  Optional<RunningAttempt> find(AttemptId id) {
    synchronized (lock) {
      return Optional.ofNullable(attempts.get(id));
    }
  }

  private void begin(CallChannel channel, AttemptId id, Begin begin) {
    Instant now = clock.instant();
    RunningAttempt attempt = new RunningAttempt(id, begin, channel, now);
    Optional<RefusalReason> refusal;
    List<Runnable> effects = new ArrayList<>();
    synchronized (lock) {
      if (attempts.containsKey(id) || ended.contains(id)) {
        return;
      }
      refusal = refusal(begin);
      if (refusal.isPresent()) {
        refuse(attempt, refusal.get(), now, effects);
      } else if (mayRun(channel, attempt, now, effects)) {
        attempts.put(id, attempt);
        SlotRequest request = new SlotRequest(id, begin.getRoute(), attempt.deadline());
        apply(new SlotDecision(id, slots.offer(request, now)), now, effects);
      }
    }
    effects.forEach(Runnable::run);
  }

  private Optional<RefusalReason> refusal(Begin begin) {
    if (draining) {
      return Optional.of(RefusalReason.DRAINING);
    }
    Member own = self.get();
    if (own.phase() == Member.Phase.STARTING) {
      return Optional.of(RefusalReason.NOT_SERVING);
    }
    if (own.phase() != Member.Phase.SERVING) {
      return Optional.of(RefusalReason.DRAINING);
    }
    boolean same =
        own.targetVersion().equals(begin.getTargetVersion())
            && own.service().equals(begin.getService());
    return same ? Optional.empty() : Optional.of(RefusalReason.WRONG_VERSION);
  }

  /** Returns whether the attempt's Idempotency-Key, if it has one, allows it to run. */
  private boolean mayRun(
      CallChannel channel, RunningAttempt attempt, Instant now, List<Runnable> effects) {
    Optional<IdempotencyKey> key = KeyGuard.key(attempt.begin());
    if (key.isEmpty()) {
      return true;
    }
    keys.observe(now);
    Optional<Instant> ownedSince = keys.ownedSince(attempt.begin());
    if (ownedSince.isEmpty()) {
      refuse(attempt, RefusalReason.NOT_KEY_OWNER, now, effects);
      return false;
    }
    IdempotencyTable.Claim claim = keys.claim(key.get(), attempt.id(), ownedSince.get(), now);
    if (claim.decision() != IdempotencyTable.Decision.RUN) {
      CallFrame reply = KeyGuard.reply(attempt.id(), claim, ended, load());
      ended.remember(attempt.id(), AttemptOutcome.UNKNOWN, now);
      effects.add(() -> channel.send(reply));
    }
    return claim.decision() == IdempotencyTable.Decision.RUN;
  }

  private void apply(SlotDecision decision, Instant now, List<Runnable> effects) {
    RunningAttempt attempt = attempts.get(decision.attempt());
    switch (decision.kind()) {
      case ADMITTED -> {
        attempt.admit(now);
        effects.add(() -> run(attempt));
      }
      case QUEUED -> {}
      default -> {
        attempts.remove(attempt.id());
        refuse(attempt, GateFrames.reason(decision.kind()), now, effects);
      }
    }
  }

  private void refuse(
      RunningAttempt attempt, RefusalReason reason, Instant now, List<Runnable> effects) {
    CallFrame frame = GateFrames.refusal(attempt.id(), reason, load());
    ended.remember(attempt.id(), AttemptOutcome.NOT_RUN, now);
    ended.keep(attempt.id(), frame);
    keys.notRun(attempt);
    effects.add(() -> attempt.send(frame));
    effects.add(() -> outcomes.notRun(attempt));
  }

  private void run(RunningAttempt attempt) {
    if (!connections.tryAcquire()) {
      refuseAdmitted(attempt, RefusalReason.TARGET_UNREACHABLE, SlotEnd.OTHER);
      return;
    }
    String token = new CallToken(attempt.id(), attempt.tree()).format();
    TargetAnswer answer =
        new TargetAnswer(
            token, attempt.begin().getCredit(), new AnswerForwarder(this, attempt, clock));
    attempt.expects(answer);
    Duration left = Duration.between(clock.instant(), attempt.deadline());
    CompletableFuture<HttpResponse<Void>> exchange;
    try {
      exchange = client.run(attempt, answer, left);
    } catch (IllegalArgumentException unsendable) {
      connections.release();
      refuseAdmitted(attempt, RefusalReason.UNSENDABLE, SlotEnd.OTHER);
      return;
    }
    exchange.whenComplete(
        (response, error) -> {
          connections.release();
          if (error != null) {
            broken(attempt, answer, error);
          }
        });
    attempt.runs(exchange);
  }

  private void broken(RunningAttempt attempt, TargetAnswer answer, Throwable error) {
    if (TargetClient.provesNotRun(error)) {
      refuseAdmitted(attempt, RefusalReason.TARGET_UNREACHABLE, SlotEnd.OTHER);
    } else {
      FailureReason reason =
          answer.isCrossed() ? FailureReason.ANSWER_CROSSED : FailureReason.TARGET_BROKEN;
      fail(attempt, reason, SlotEnd.OTHER, Result.FAILURE);
    }
  }

  /** Ends an admitted attempt that was proven not run. */
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

  /** Ends an attempt once; later ends of the same attempt change nothing. */
  boolean finish(
      RunningAttempt attempt, SlotEnd end, AttemptOutcome outcome, Result result, LastFrame last) {
    Instant now = clock.instant();
    List<Runnable> effects = new ArrayList<>();
    synchronized (lock) {
      if (!attempts.remove(attempt.id(), attempt)) {
        return false;
      }
      final Duration used = slots.release(attempt.id(), end, now).orElse(Duration.ZERO);
      ended.remember(attempt.id(), outcome, now);
      if (outcome == AttemptOutcome.NOT_RUN) {
        keys.notRun(attempt);
      }
      List<SlotDecision> next = slots.poll(now);
      CallFrame frame = last.with(load());
      if (frame.getKindCase() != CallFrame.KindCase.BODY) {
        ended.keep(attempt.id(), frame);
      }
      effects.add(() -> attempt.send(frame));
      next.forEach(decision -> apply(decision, now, effects));
      effects.add(() -> outcomes.ended(attempt, result, used));
    }
    effects.forEach(Runnable::run);
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
    ended.remember(attempt.id(), AttemptOutcome.NOT_RUN, now);
    keys.notRun(attempt);
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
    RunningAttempt broken = null;
    synchronized (lock) {
      RunningAttempt running = attempts.get(id);
      if (running != null) {
        running.rejoin(channel);
        broken = running.canRejoin() ? null : running;
      } else {
        reply =
            ended
                .answer(id)
                .orElseGet(() -> GateFrames.cancelled(id, ended.provesNotRun(id, age, now)));
      }
    }
    if (broken != null) {
      stop(broken, SlotEnd.OTHER, Result.CALLER_ERROR);
    } else if (reply != null) {
      channel.send(reply);
    }
  }

  /** Refuses what waits and all that arrives from now on; what runs goes on. */
  void drain() {
    Instant now = clock.instant();
    List<Runnable> effects = new ArrayList<>();
    synchronized (lock) {
      draining = true;
      slots.drain().forEach(decision -> apply(decision, now, effects));
    }
    effects.forEach(Runnable::run);
  }

  /** Ends attempts whose time has passed or whose caller's node is gone. */
  void sweep(Instant now) {
    outcomes.followTarget(now);
    List<Runnable> effects = new ArrayList<>();
    List<RunningAttempt> late;
    List<RunningAttempt> orphans;
    synchronized (lock) {
      keys.observe(now);
      slots.poll(now).forEach(decision -> apply(decision, now, effects));
      late = select(attempt -> attempt.isAdmitted() && !now.isBefore(attempt.deadline()));
      orphans = select(attempt -> attempt.isOrphanedFor(REJOIN_GRACE, now));
    }
    effects.forEach(Runnable::run);
    late.forEach(this::timeOut);
    orphans.forEach(this::abandon);
  }

  private List<RunningAttempt> select(Predicate<RunningAttempt> wanted) {
    return attempts.values().stream().filter(wanted).toList();
  }

  private void timeOut(RunningAttempt attempt) {
    fail(attempt, FailureReason.TARGET_TIMEOUT, SlotEnd.OVERLOADED, Result.FAILURE);
    attempt.stop();
  }

  private void abandon(RunningAttempt attempt) {
    synchronized (lock) {
      if (withdraw(attempt, clock.instant())) {
        return;
      }
    }
    stop(attempt, SlotEnd.OTHER, Result.CALLER_ERROR);
  }

  /** Returns idempotent first attempts that the target has owed bytes for too long. */
  List<RunningAttempt> stalled(Duration limit, Instant now) {
    synchronized (lock) {
      return select(attempt -> attempt.isStalledFor(limit, now));
    }
  }

  /** Gives up an attempt whose connection to the target has gone silent; nobody is blamed. */
  void connectionSilent(RunningAttempt attempt) {
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

  /** Builds the last frame of an attempt from the load that is left. */
  interface LastFrame {

    CallFrame with(Load load);
  }
}
