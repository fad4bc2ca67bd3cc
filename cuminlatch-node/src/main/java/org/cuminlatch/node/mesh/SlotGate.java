package org.cuminlatch.node.mesh;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cuminlatch.core.admission.GoalQueue;
import org.cuminlatch.core.admission.GoalRequest;
import org.cuminlatch.core.admission.SlotDecision;
import org.cuminlatch.core.admission.SlotDecision.Kind;
import org.cuminlatch.core.admission.SlotEnd;
import org.cuminlatch.core.move.CallOutcome.Result;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.core.target.TargetReport;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.http.ClientListener;
import org.cuminlatch.node.http.ClientRequest;
import org.cuminlatch.node.http.ClientResponse;
import org.cuminlatch.node.http.HttpClient;
import org.cuminlatch.wire.call.CallChannel;
import org.cuminlatch.wire.call.CallFrameHandler;
import org.cuminlatch.wire.call.CallFrames;
import org.cuminlatch.wire.proto.call.Begin;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.Cancelled;
import org.cuminlatch.wire.proto.call.Failure;
import org.cuminlatch.wire.proto.call.FailureReason;
import org.cuminlatch.wire.proto.call.Load;
import org.cuminlatch.wire.proto.call.Pong;
import org.cuminlatch.wire.proto.call.Refusal;
import org.cuminlatch.wire.proto.call.RefusalReason;
import org.cuminlatch.wire.proto.call.TargetStatus;

/**
 * The only way to the target beside the node: gives its slots to attempts and executes them.
 *
 * <p>What is refused here was never sent to the target. Used on the traffic loop.
 */
final class SlotGate implements CallFrameHandler {

  /** Time after its deadline in which a target's own answer is still waited for. */
  private static final Duration DEADLINE_GRACE = Duration.ofMillis(150);

  /** Idle time after which a kept connection is not trusted with what can't be repeated. */
  private static final Duration FRESH_FOR_ONCE = Duration.ofMillis(700);

  /** Idle time after which a kept connection is not used for what can be repeated. */
  private static final Duration FRESH_FOR_REPEATABLE = Duration.ofSeconds(3);

  /** Connections in a row that fail to open before the target counts as gone. */
  private static final int FAILURES_TO_ABSENT = 2;

  /** Time without any answer after which the target is probed while it owes some. */
  private static final Duration SILENT = Duration.ofMillis(600);

  private final EventLoop loop;
  private final HttpClient target;
  private final InstantSource clock;
  private final HeaderNames names;
  private final LoopLag lag;
  private final EventLog log;
  private final GateListener listener;
  private final Map<AttemptId, GateAttempt> attempts = new HashMap<>();
  private final Set<CallChannel> accepted = new HashSet<>();
  private Optional<TargetReport> report = Optional.empty();
  private GoalQueue slots = new GoalQueue(1);
  private boolean open;
  private boolean absent;
  private int connectFailures;
  private int running;
  private Instant lastAnswerAt;
  private Instant probedAt = Instant.MIN;

  SlotGate(
      EventLoop loop,
      HttpClient target,
      InstantSource clock,
      HeaderNames names,
      LoopLag lag,
      EventLog log,
      GateListener listener) {
    this.loop = loop;
    this.target = target;
    this.clock = clock;
    this.names = names;
    this.lag = lag;
    this.log = log;
    this.listener = listener;
    this.lastAnswerAt = clock.instant();
  }

  /** Hears of what the gate learns. */
  interface GateListener {

    /** The target can or can't be reached any more. */
    void reachabilityChanged();

    /** An attempt has ended at the target. */
    void ended(Begin begin, Result result, Duration took);

    /** Another target, or another start of it, is beside the node. */
    void targetReplaced();

    /** Returns the record that holds the configuration in force. */
    Optional<CallFrame> configuration();

    /** Returns what is told of moves to a node that connects. */
    Optional<CallFrame> knownMoves();

    /** Returns what is told to a node that connects. */
    TargetStatus status();
  }

  /** Admits requests to a target, at first or anew. */
  void open(TargetReport described) {
    boolean same =
        report
            .filter(described::isOfSameStart)
            .filter(known -> known.slots() == described.slots())
            .isPresent();
    report = Optional.of(described);
    open = true;
    if (!same) {
      refuseWaiting(RefusalReason.TARGET_REPLACED);
      slots = new GoalQueue(described.slots());
      running = 0;
      listener.targetReplaced();
    }
  }

  /** Admits nothing more; what executes goes on. */
  void shut() {
    open = false;
    refuseWaiting(RefusalReason.DRAINING);
  }

  /** The target has reported itself: it may be reachable again. */
  void targetHeard() {
    connectFailures = 0;
    if (absent) {
      absent = false;
      listener.reachabilityChanged();
    }
  }

  boolean isAbsent() {
    return absent;
  }

  int running() {
    return running;
  }

  int waiting() {
    return slots.queued();
  }

  boolean isIdle() {
    return attempts.isEmpty();
  }

  /** Tells all connected nodes. */
  void broadcast(CallFrame frame) {
    accepted.forEach(channel -> channel.send(frame));
  }

  @Override
  public void onConnected(CallChannel channel) {
    accepted.add(channel);
    channel.send(CallFrame.newBuilder().setStatus(listener.status()).build());
    listener.knownMoves().ifPresent(channel::send);
  }

  @Override
  public void onClosed(CallChannel channel) {
    accepted.remove(channel);
    for (GateAttempt attempt : List.copyOf(attempts.values())) {
      if (attempt.origin() == channel) {
        withdraw(attempt);
      }
    }
  }

  @Override
  public void onFrame(CallChannel channel, CallFrame frame) {
    AttemptId id = CallFrames.attempt(frame);
    switch (frame.getKindCase()) {
      case BEGIN -> begin(channel, id, frame.getBegin());
      case BODY -> find(id).ifPresent(attempt -> body(attempt, frame));
      case CREDIT -> find(id).ifPresent(attempt -> grant(attempt, frame.getCredit().getBytes()));
      case CANCEL -> cancel(channel, id);
      case CONFIG_PULL -> listener.configuration().ifPresent(channel::send);
      case PING -> channel.send(CallFrame.newBuilder().setPong(Pong.getDefaultInstance()).build());
      default -> channel.close();
    }
  }

  private Optional<GateAttempt> find(AttemptId id) {
    return Optional.ofNullable(attempts.get(id));
  }

  private void begin(CallChannel channel, AttemptId id, Begin begin) {
    GateAttempt attempt = new GateAttempt(id, begin, channel, clock.instant());
    attempts.put(id, attempt);
    if (begin.getBodyComplete()) {
      offer(attempt);
    }
  }

  private void body(GateAttempt attempt, CallFrame frame) {
    attempt.append(frame.getBody().getContent());
    if (frame.getBody().getLast()) {
      offer(attempt);
    }
  }

  private void offer(GateAttempt attempt) {
    Optional<RefusalReason> closed = closedFor(attempt.begin());
    if (closed.isPresent()) {
      refuse(attempt, closed.get());
      return;
    }
    Instant now = clock.instant();
    Begin begin = attempt.begin();
    GoalRequest request =
        new GoalRequest(
            attempt.id(),
            begin.getRoute(),
            begin.getPriority(),
            attempt.arrivedAt().plusNanos(begin.getGoalMicros() * 1000),
            attempt.deadline());
    decided(new SlotDecision(attempt.id(), slots.offer(request, now)));
  }

  private Optional<RefusalReason> closedFor(Begin begin) {
    if (report.isEmpty()) {
      return Optional.of(RefusalReason.NOT_SERVING);
    }
    if (!begin.getExpectedInstance().equals(report.get().instance())) {
      return Optional.of(RefusalReason.TARGET_REPLACED);
    }
    if (!open) {
      return Optional.of(RefusalReason.DRAINING);
    }
    return absent ? Optional.of(RefusalReason.TARGET_UNREACHABLE) : Optional.empty();
  }

  private void decided(SlotDecision decision) {
    GateAttempt attempt = attempts.get(decision.attempt());
    if (attempt == null) {
      return;
    }
    if (decision.kind() == Kind.ADMITTED) {
      dispatch(attempt);
    } else if (decision.kind() != Kind.QUEUED) {
      refuse(attempt, reason(decision.kind()));
    }
  }

  private static RefusalReason reason(Kind kind) {
    return switch (kind) {
      case QUEUE_FULL -> RefusalReason.QUEUE_FULL;
      case DRAINING -> RefusalReason.DRAINING;
      default -> RefusalReason.DEADLINE;
    };
  }

  private void dispatch(GateAttempt attempt) {
    Instant now = clock.instant();
    attempt.dispatched(now, slots);
    running++;
    if (running == 1) {
      lastAnswerAt = now;
    }
    Duration left = Duration.between(now, attempt.deadline());
    Future<?> timer =
        loop.schedule(
            () -> timeOut(attempt), left.plus(DEADLINE_GRACE).toNanos(), TimeUnit.NANOSECONDS);
    Begin begin = attempt.begin();
    ClientRequest request =
        new ClientRequest(
            begin.getMethod(),
            begin.getPath(),
            GateHeaders.toTarget(begin, names, left),
            attempt.body(),
            begin.getIdempotent() ? FRESH_FOR_REPEATABLE : FRESH_FOR_ONCE,
            response -> GateHeaders.belongs(response, begin, names));
    attempt.runs(target.send(request, new Execution(attempt)), timer);
  }

  /** Takes the end of an attempt at the target. */
  private final class Execution implements ClientListener {

    private final GateAttempt attempt;

    Execution(GateAttempt attempt) {
      this.attempt = attempt;
    }

    @Override
    public void answered(ClientResponse response) {
      lastAnswerAt = clock.instant();
      connectFailures = 0;
      if (response.header(names.notRun()).isPresent() || response.status() == 421) {
        boolean replaced = response.status() == 421;
        release(attempt, replaced ? SlotEnd.OTHER : SlotEnd.OVERLOADED, Result.NOT_RUN);
        refuse(attempt, replaced ? RefusalReason.TARGET_REPLACED : RefusalReason.TARGET_SHED);
        if (replaced) {
          lose("another target answers at its address");
        }
      } else {
        Result result = response.status() >= 500 ? Result.FAILURE : Result.SUCCESS;
        release(attempt, SlotEnd.ANSWERED, result);
        attempt.answer(response, GateHeaders.toCaller(response), load());
        if (attempt.isAnswerSent()) {
          attempts.remove(attempt.id());
        }
      }
      admitWaiting();
    }

    @Override
    public void failed(Failure failure) {
      log.request("target-failed", attempt.begin().getRequestId())
          .with("target", attempt.begin().getExpectedInstance())
          .with("sent", String.valueOf(failure.sent()))
          .with("reason", failure.reason())
          .write();
      if (failure.sent()) {
        release(attempt, SlotEnd.OTHER, Result.FAILURE);
        fail(attempt, FailureReason.TARGET_BROKEN);
      } else {
        release(attempt, SlotEnd.OTHER, Result.NOT_RUN);
        refuse(attempt, RefusalReason.TARGET_UNREACHABLE);
        notOpened();
      }
      admitWaiting();
    }
  }

  private void notOpened() {
    connectFailures++;
    if (connectFailures >= FAILURES_TO_ABSENT) {
      lose("no connection can be opened");
    }
  }

  private void lose(String reason) {
    if (!absent) {
      absent = true;
      log.event("target-lost")
          .with("target", report.map(TargetReport::instance).orElse("-"))
          .with("reason", reason)
          .write();
      refuseWaiting(RefusalReason.TARGET_UNREACHABLE);
      listener.reachabilityChanged();
    }
  }

  private void release(GateAttempt attempt, SlotEnd end, Result result) {
    Instant now = clock.instant();
    attempt.stopTimer();
    attempt.queue().release(attempt.id(), end, now);
    if (attempt.queue() == slots) {
      running--;
    }
    Duration took = Duration.between(attempt.dispatchedAt(), now);
    listener.ended(attempt.begin(), result, took);
  }

  private void timeOut(GateAttempt attempt) {
    if (attempts.get(attempt.id()) != attempt) {
      return;
    }
    attempt.cancelCall();
    release(attempt, SlotEnd.OVERLOADED, Result.FAILURE);
    fail(attempt, FailureReason.TARGET_TIMEOUT);
    admitWaiting();
  }

  private void cancel(CallChannel channel, AttemptId id) {
    GateAttempt attempt = attempts.get(id);
    if (attempt != null) {
      boolean notRun = !attempt.isDispatched();
      withdraw(attempt);
      channel.send(
          CallFrames.of(id).setCancelled(Cancelled.newBuilder().setNotRun(notRun)).build());
    }
  }

  private void withdraw(GateAttempt attempt) {
    attempts.remove(attempt.id());
    if (!attempt.isDispatched()) {
      slots.withdraw(attempt.id());
    } else if (attempt.queue().release(attempt.id(), SlotEnd.OTHER, clock.instant()).isPresent()) {
      running -= attempt.queue() == slots ? 1 : 0;
      attempt.cancelCall();
      admitWaiting();
    }
  }

  private void grant(GateAttempt attempt, long bytes) {
    attempt.grant(bytes);
    if (attempt.isAnswerSent()) {
      attempts.remove(attempt.id());
    }
  }

  private void admitWaiting() {
    for (SlotDecision decision : slots.poll(clock.instant())) {
      decided(decision);
    }
  }

  private void refuseWaiting(RefusalReason reason) {
    for (SlotDecision decision : slots.drain()) {
      find(decision.attempt()).ifPresent(attempt -> refuse(attempt, reason));
    }
  }

  private void refuse(GateAttempt attempt, RefusalReason reason) {
    attempts.remove(attempt.id());
    attempt
        .origin()
        .send(
            CallFrames.of(attempt.id())
                .setRefusal(
                    Refusal.newBuilder()
                        .setReason(reason)
                        .setLoad(load())
                        .setFreeInMicros(slots.expectedWait().toNanos() / 1000))
                .build());
    log.request("gate-refused", attempt.begin().getRequestId())
        .with("route", attempt.begin().getRoute())
        .with("target", attempt.begin().getExpectedInstance())
        .with("reason", reason.name())
        .with("running", running)
        .with("waiting", slots.queued())
        .with("limit", slots.slots())
        .write();
  }

  private void fail(GateAttempt attempt, FailureReason reason) {
    attempts.remove(attempt.id());
    attempt
        .origin()
        .send(
            CallFrames.of(attempt.id())
                .setFailure(Failure.newBuilder().setReason(reason).setLoad(load()))
                .build());
  }

  private Load load() {
    return Load.newBuilder()
        .setBusy(slots.busy())
        .setQueued(slots.queued())
        .setLimit(slots.slots())
        .setLagMicros(lag.value().toNanos() / 1000)
        .build();
  }

  /** Refuses what can't be served in time any more and probes a target that owes answers. */
  void sweep() {
    if (slots.queued() > 0) {
      admitWaiting();
    }
    Instant now = clock.instant();
    boolean silent = running > 0 && now.isAfter(lastAnswerAt.plus(SILENT));
    if (silent && !absent && now.isAfter(probedAt.plus(SILENT))) {
      probedAt = now;
      target.probe(this::probed);
    }
  }

  private void probed(boolean reachable) {
    if (!reachable && running > 0) {
      lose("silent, and no connection can be opened");
      target.closeConnections();
    }
  }
}
