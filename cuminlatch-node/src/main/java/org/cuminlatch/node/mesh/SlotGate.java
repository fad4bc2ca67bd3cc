package org.cuminlatch.node.mesh;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cuminlatch.core.admission.AnswerMemory;
import org.cuminlatch.core.admission.ColdRateLimit;
import org.cuminlatch.core.admission.GoalQueue;
import org.cuminlatch.core.admission.GoalRequest;
import org.cuminlatch.core.admission.RequestOrigin;
import org.cuminlatch.core.admission.RequestRateLimit;
import org.cuminlatch.core.admission.SlotDecision;
import org.cuminlatch.core.admission.SlotDecision.Kind;
import org.cuminlatch.core.admission.SlotEnd;
import org.cuminlatch.core.admission.StopAdmission;
import org.cuminlatch.core.move.CallOutcome.Result;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.core.target.ColdState;
import org.cuminlatch.core.target.TargetReport;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.http.ClientRequest;
import org.cuminlatch.node.http.ClientResponse;
import org.cuminlatch.node.http.ClientUpload;
import org.cuminlatch.node.http.HttpClient;
import org.cuminlatch.node.http.UnsolicitedBytes;
import org.cuminlatch.node.http.UploadListener;
import org.cuminlatch.wire.call.CallChannel;
import org.cuminlatch.wire.call.CallFrameHandler;
import org.cuminlatch.wire.call.CallFrames;
import org.cuminlatch.wire.proto.call.Begin;
import org.cuminlatch.wire.proto.call.Body;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.Cancelled;
import org.cuminlatch.wire.proto.call.Failure;
import org.cuminlatch.wire.proto.call.FailureReason;
import org.cuminlatch.wire.proto.call.Hello;
import org.cuminlatch.wire.proto.call.Load;
import org.cuminlatch.wire.proto.call.Pong;
import org.cuminlatch.wire.proto.call.QuotaRequest;
import org.cuminlatch.wire.proto.call.Refusal;
import org.cuminlatch.wire.proto.call.RefusalReason;
import org.cuminlatch.wire.proto.call.TargetStatus;
import org.cuminlatch.wire.proto.call.ValidityQuery;

/**
 * Gate of the local target: assigns the target's slots to attempts and sends them to the target.
 *
 * <p>All requests to the target pass through the gate. An attempt that it refuses was not executed
 * by the target. Used on the traffic loop.
 */
final class SlotGate implements CallFrameHandler {

  /** Time after the deadline of an attempt for which the target's answer is still awaited. */
  private static final Duration DEADLINE_GRACE = Duration.ofMillis(150);

  /** Idle time after which a connection is not reused for requests that can't be repeated. */
  private static final Duration UNREPEATABLE_IDLE_TIMEOUT = Duration.ofMillis(700);

  /** Idle time after which a connection is not reused for requests that can be repeated. */
  private static final Duration REPEATABLE_IDLE_TIMEOUT = Duration.ofSeconds(3);

  /** Consecutive failures to open a connection after which the target counts as absent. */
  private static final int CONNECT_FAILURES_UNTIL_ABSENT = 2;

  /** Time without any answer after which a target with outstanding requests is probed. */
  private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(600);

  /** Difference between two deadlines that may be due to the time that messages take. */
  private static final Duration SAME_DEADLINE_TOLERANCE = Duration.ofMillis(25);

  /** Size of the answers that wait for slow callers at which no more large ones are requested. */
  private static final int MAX_WAITING_ANSWER_BYTES = 16 << 20;

  private final EventLoop loop;
  private final HttpClient target;
  private final InstantSource clock;
  private final HeaderNames names;
  private final LoopLag lag;
  private final EventLog log;
  private final MeshMetrics metrics;
  private final GateCallback callback;
  private final TargetCheck check;
  private final Map<AttemptId, GateAttempt> attempts = new HashMap<>();
  private final List<GateAttempt> arrived = new ArrayList<>();
  private final AnswerMemory answerMemory =
      new AnswerMemory(MAX_WAITING_ANSWER_BYTES, EntryCall.ANSWER_WINDOW_BYTES);
  private final Set<CallChannel> peerChannels = new HashSet<>();
  private Optional<TargetReport> report = Optional.empty();

  /** Latest start of the target that has said in an answer that it leaves. */
  private Optional<TargetReport> leaving = Optional.empty();

  private final ColdRateLimit cold = new ColdRateLimit();
  private RequestRateLimit rateLimit = new RequestRateLimit(cold);
  private GoalQueue slots = new GoalQueue(1, rateLimit);
  private Future<?> permitTimer;
  private Optional<StopAdmission> stop = Optional.empty();
  private boolean open;
  private boolean absent;
  private boolean evacuated;
  private int connectFailures;
  private int running;
  private Instant lastAnswerAt;
  private Instant lastProbeAt = Instant.MIN;

  SlotGate(
      EventLoop loop,
      HttpClient target,
      InstantSource clock,
      HeaderNames names,
      LoopLag lag,
      EventLog log,
      MeshMetrics metrics,
      GateCallback callback) {
    this.loop = loop;
    this.target = target;
    this.clock = clock;
    this.names = names;
    this.lag = lag;
    this.log = log;
    this.metrics = metrics;
    this.callback = callback;
    this.check = new TargetCheck(loop, target, clock, names, log, metrics, new CheckListener());
    this.lastAnswerAt = clock.instant();
    target.listenForUnsolicitedBytes(this::onUnsolicitedBytes);
    target.listenForInvalidStatus(status -> metrics.countInvalidStatus("target"));
  }

  /** Receives events of the gate and supplies the frames that it sends to other nodes. */
  interface GateCallback {

    /** Called when the target becomes reachable or unreachable. */
    void onReachabilityChange();

    /** Called when the target's execution of an attempt has ended. */
    void onExecutionEnd(Begin begin, Result result, Duration took);

    /** Called when an answer of the local target says that it leaves; the gate is closed then. */
    void onTargetLeaves(TargetReport target);

    /** Called when the target has said in an answer to a health check for how long it is cold. */
    void onColdLeft(Duration coldLeft);

    /**
     * Called when another node tells what it knows of a target's exit.
     *
     * @param token token of the exit, see {@link org.cuminlatch.core.target.ExitToken}
     * @param peer address of the other node
     */
    void onExitConfirmed(long token, String peer);

    /** Called when another node opens a connection. */
    void onHello(Hello hello);

    /** Called when the local target was replaced, restarted or given another number of slots. */
    void onTargetReplaced();

    /** Returns the frame with the configuration in force, empty before the first one. */
    Optional<CallFrame> configurationFrame();

    /** Returns the frame with the evidence on moves for a node that connects. */
    Optional<CallFrame> moveEvidenceFrame();

    /**
     * Returns the frame that answers a query about the validity of keys, empty if there is none.
     */
    Optional<CallFrame> validityAnswer(ValidityQuery query);

    /** Returns the frame that answers a request for tokens of quotas, empty if it is unusable. */
    Optional<CallFrame> quotaGrants(QuotaRequest request);

    /** Returns the status that is sent to a node that connects. */
    TargetStatus targetStatus();
  }

  /** Starts to admit attempts to a target, or continues with a new report of it. */
  void open(TargetReport newReport) {
    final boolean sameStart = report.filter(newReport::isOfSameStart).isPresent();
    final boolean sameSlots =
        report.filter(known -> known.slots() == newReport.slots()).isPresent();
    report = Optional.of(newReport);
    open = leaving.filter(newReport::isOfSameStart).isEmpty();
    if (!sameStart) {
      rateLimit = new RequestRateLimit(cold);
      check.onStart(newReport);
    }
    if (!sameStart || !sameSlots) {
      refuseWaiting(RefusalReason.TARGET_REPLACED);
      slots = new GoalQueue(newReport.slots(), rateLimit);
      running = 0;
      callback.onTargetReplaced();
    }
  }

  /** Refuses waiting and new attempts; those that the target executes continue. */
  void close() {
    open = false;
    refuseWaiting(RefusalReason.DRAINING);
  }

  /** Accepts from now on only the attempts that the stop of the node leaves time for. */
  void announceStop(StopAdmission admission) {
    stop = Optional.of(admission);
  }

  /**
   * Refuses waiting and new attempts while the zone of the target is evacuated; those that the
   * target executes continue.
   */
  void setEvacuated(boolean newEvacuated) {
    evacuated = newEvacuated;
    if (evacuated) {
      refuseWaiting(RefusalReason.DRAINING);
    }
  }

  /** Sets the path of the health check of a restarted node, empty if the target needs none. */
  void setCheckPath(Optional<String> path) {
    check.setPath(path);
  }

  /** Limits the requests to the target while it is cold. */
  void setCold(ColdState state) {
    cold.update(state, clock.instant());
    admitWaiting();
  }

  /** Returns the limit that applies while the target is cold, infinite if there is none now. */
  double coldPerSecond() {
    return cold.perSecond(clock.instant());
  }

  /** Called on a report of the target, which shows that it may be reachable again. */
  void markReachable() {
    connectFailures = 0;
    if (absent) {
      absent = false;
      callback.onReachabilityChange();
    }
  }

  boolean isAbsent() {
    return absent;
  }

  int running() {
    return running;
  }

  /** Returns whether the target runs a request whose deadline is the given one, within a bound. */
  boolean runsUntil(Instant deadline) {
    return attempts.values().stream()
        .anyMatch(
            attempt ->
                attempt.isDispatched()
                    && Duration.between(attempt.deadline(), deadline)
                            .abs()
                            .compareTo(SAME_DEADLINE_TOLERANCE)
                        <= 0);
  }

  int waiting() {
    return slots.queued();
  }

  boolean isIdle() {
    return attempts.isEmpty();
  }

  /** Sends a frame to all connected nodes. */
  void broadcast(CallFrame frame) {
    peerChannels.forEach(channel -> channel.send(frame));
  }

  @Override
  public void onConnected(CallChannel channel) {
    peerChannels.add(channel);
    channel.send(CallFrame.newBuilder().setStatus(callback.targetStatus()).build());
    callback.moveEvidenceFrame().ifPresent(channel::send);
  }

  @Override
  public void onClosed(CallChannel channel) {
    peerChannels.remove(channel);
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
      case BODY -> find(id).ifPresent(attempt -> forwardBody(attempt, frame.getBody()));
      case CREDIT ->
          find(id).ifPresent(attempt -> addCredit(attempt, frame.getCredit().getBytes()));
      case CANCEL -> cancel(channel, id);
      case CONFIG_PULL -> callback.configurationFrame().ifPresent(channel::send);
      case VALIDITY_QUERY ->
          callback.validityAnswer(frame.getValidityQuery()).ifPresent(channel::send);
      case QUOTA_REQUEST -> callback.quotaGrants(frame.getQuotaRequest()).ifPresent(channel::send);
      case PING -> onPing(channel, frame.getPing().getNonce());
      case HELLO -> callback.onHello(frame.getHello());
      default -> channel.close();
    }
  }

  private void onPing(CallChannel channel, long nonce) {
    if (nonce != 0) {
      callback.onExitConfirmed(nonce, channel.peer());
    }
    channel.send(CallFrame.newBuilder().setPong(Pong.getDefaultInstance()).build());
  }

  private Optional<GateAttempt> find(AttemptId id) {
    return Optional.ofNullable(attempts.get(id));
  }

  private void begin(CallChannel channel, AttemptId id, Begin begin) {
    GateAttempt attempt = new GateAttempt(id, begin, channel, clock.instant());
    attempts.put(id, attempt);
    scheduleOffer(attempt);
  }

  /** Passes a part of a body on to the target; the request is sent before the first one. */
  private void forwardBody(GateAttempt attempt, Body part) {
    Optional<GateUpload> upload = attempt.upload();
    if (upload.isEmpty() || !upload.get().isOpened()) {
      withdraw(attempt); // the entry node does not keep to its credit
      refuse(attempt, RefusalReason.WITHDRAWN);
    } else if (!attempt.isAnswered()
        && (upload.get().isStarted() || startUpload(attempt, upload.get()))) {
      upload.get().send(part);
    }
  }

  /** Sends the head of a request whose body follows; returns false if the attempt was refused. */
  private boolean startUpload(GateAttempt attempt, GateUpload upload) {
    Duration timeLeft = Duration.between(clock.instant(), attempt.deadline());
    boolean late = timeLeft.isNegative() || timeLeft.isZero();
    if (!late && upload.start(request(attempt, timeLeft))) {
      return true;
    }
    attempt.cancelCall();
    release(attempt, SlotEnd.OTHER, Result.NOT_RUN);
    refuse(attempt, late ? RefusalReason.DEADLINE : RefusalReason.TARGET_UNREACHABLE);
    admitWaiting();
    return false;
  }

  /**
   * Offers an attempt in a later task of the event loop, when all frames that have arrived so far
   * have been read, so that a cancellation that follows the attempt is seen first.
   */
  private void scheduleOffer(GateAttempt attempt) {
    if (arrived.isEmpty()) {
      loop.execute(this::offerArrived);
    }
    arrived.add(attempt);
  }

  private void offerArrived() {
    if (check.isRunning()) {
      return; // they are offered when the check has ended
    }
    List<GateAttempt> batch = List.copyOf(arrived);
    arrived.clear();
    for (GateAttempt attempt : batch) {
      if (attempts.get(attempt.id()) == attempt && attempt.origin().isOpen()) {
        offer(attempt);
      }
    }
  }

  private void offer(GateAttempt attempt) {
    Optional<RefusalReason> refusal = refusalReason(attempt);
    if (refusal.isPresent()) {
      refuse(attempt, refusal.get());
      return;
    }
    Instant now = clock.instant();
    Begin begin = attempt.begin();
    assumeLimits(begin, now);
    GoalRequest request =
        new GoalRequest(
            attempt.id(),
            begin.getRoute(),
            begin.getPriority(),
            attempt.arrivedAt().plusNanos(begin.getGoalMicros() * 1000),
            attempt.deadline(),
            new RequestOrigin(begin.getNested(), begin.getAccount(), begin.getAccountWeight()));
    Kind kind = slots.offer(request, now);
    if (kind != Kind.ADMITTED && slots.isOverShare(request)) {
      metrics.countOverShare(begin.getAccount());
    }
    apply(new SlotDecision(attempt.id(), kind));
    if (slots.hasDisplaced()) {
      metrics.countDisplaced();
      admitWaiting();
    }
    awaitPermit(now);
  }

  /** Applies the limits that the entry node knows and that this process has not learned yet. */
  private void assumeLimits(Begin begin, Instant now) {
    cold.assume(begin.getColdPerSecond(), now);
    if (begin.hasLimitPerSecond() && rateLimit.assume(begin.getLimitPerSecond(), now)) {
      logLimit();
    }
  }

  /** Admits waiting attempts once the target's rate limit permits the next request. */
  private void awaitPermit(Instant now) {
    if (permitTimer == null) {
      slots.timeUntilPermitted(now).ifPresent(this::admitWaitingAfter);
    }
  }

  private void admitWaitingAfter(Duration delay) {
    permitTimer =
        loop.schedule(
            () -> {
              permitTimer = null;
              admitWaiting();
            },
            delay.toNanos(),
            TimeUnit.NANOSECONDS);
  }

  private Optional<RefusalReason> refusalReason(GateAttempt attempt) {
    Begin begin = attempt.begin();
    if (report.isEmpty() || (begin.getColdPerSecond() > 0 && check.awaitsConfiguration())) {
      return Optional.of(RefusalReason.NOT_SERVING);
    }
    if (!begin.getExpectedInstance().equals(report.get().instance())) {
      return Optional.of(RefusalReason.TARGET_REPLACED);
    }
    if (evacuated) {
      metrics.countEvacuated();
      return Optional.of(RefusalReason.DRAINING);
    }
    if (!open || mayOutlastNode(attempt)) {
      return Optional.of(RefusalReason.DRAINING);
    }
    if (absent) {
      return Optional.of(RefusalReason.TARGET_UNREACHABLE);
    }
    return hasRoomForAnswer(attempt) ? Optional.empty() : Optional.of(RefusalReason.QUEUE_FULL);
  }

  private boolean hasRoomForAnswer(GateAttempt attempt) {
    String route = attempt.begin().getRoute();
    return !answerMemory.hasLargeAnswers(route) || answerMemory.admits(route, waitingBytes());
  }

  /** Returns the size of the answers that wait for their callers to read. */
  private long waitingBytes() {
    return attempts.values().stream().mapToLong(GateAttempt::waitingBytes).sum();
  }

  /**
   * Returns whether the node may stop before an attempt ends; the own calls were checked before.
   */
  private boolean mayOutlastNode(GateAttempt attempt) {
    return stop.isPresent()
        && peerChannels.contains(attempt.origin())
        && !stop.get().admitsAttempt(attempt.deadline());
  }

  private void apply(SlotDecision decision) {
    GateAttempt attempt = attempts.get(decision.attempt());
    if (attempt == null) {
      return;
    }
    if (decision.kind() == Kind.ADMITTED && !hasRoomForAnswer(attempt)) {
      slots.release(attempt.id(), SlotEnd.OTHER, clock.instant());
      refuse(attempt, RefusalReason.QUEUE_FULL);
    } else if (decision.kind() == Kind.ADMITTED) {
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
    attempt.markDispatched(now, slots);
    metrics.countDispatched(attempt.begin().getRetried());
    running++;
    if (running == 1) {
      lastAnswerAt = now;
    }
    Duration timeLeft = Duration.between(now, attempt.deadline());
    Future<?> timer =
        loop.schedule(
            () -> onTimeout(attempt),
            timeLeft.plus(DEADLINE_GRACE).toNanos(),
            TimeUnit.NANOSECONDS);
    if (attempt.upload().isPresent()) {
      ClientUpload call = target.openUpload(idleTimeout(attempt), new Execution(attempt));
      attempt.upload().get().setCall(call);
      attempt.setCall(call, timer);
    } else {
      attempt.setCall(target.send(request(attempt, timeLeft), new Execution(attempt)), timer);
    }
  }

  private ClientRequest request(GateAttempt attempt, Duration timeLeft) {
    Begin begin = attempt.begin();
    return new ClientRequest(
        begin.getMethod(),
        begin.getPath(),
        ForwardedHeaders.toTarget(begin, names, timeLeft),
        attempt.body(),
        idleTimeout(attempt),
        response -> ForwardedHeaders.ownerOf(response, begin, names));
  }

  /** Returns the idle time after which a connection is not reused; uploads are never repeated. */
  private static Duration idleTimeout(GateAttempt attempt) {
    return attempt.begin().getIdempotent() && attempt.upload().isEmpty()
        ? REPEATABLE_IDLE_TIMEOUT
        : UNREPEATABLE_IDLE_TIMEOUT;
  }

  /** Handles the end of an attempt at the target. */
  private final class Execution implements UploadListener {

    private final GateAttempt attempt;

    Execution(GateAttempt attempt) {
      this.attempt = attempt;
    }

    @Override
    public void onOpened() {
      attempt.upload().orElseThrow().onOpened();
    }

    @Override
    public void onResponse(ClientResponse response) {
      if (attempt.upload().filter(upload -> !upload.isComplete()).isPresent()) {
        metrics.countAnsweredEarly();
      }
      lastAnswerAt = clock.instant();
      connectFailures = 0;
      if (response.status() != 421 && attempt.queue() == slots) {
        updateRateLimit(response, attempt.dispatchedAt());
        closeIfLeaving(response);
      }
      if (response.header(names.notRun()).isPresent() || response.status() == 421) {
        boolean replaced = response.status() == 421;
        release(attempt, replaced ? SlotEnd.OTHER : SlotEnd.OVERLOADED, Result.NOT_RUN);
        refuse(attempt, replaced ? RefusalReason.TARGET_REPLACED : RefusalReason.TARGET_SHED);
        if (replaced) {
          markAbsent("another target answered at its address");
        }
      } else {
        Result result = response.status() >= 500 ? Result.FAILURE : Result.SUCCESS;
        release(attempt, SlotEnd.ANSWERED, result);
        answerMemory.recordAnswer(attempt.begin().getRoute(), response.body().length);
        attempt.sendAnswer(response, ForwardedHeaders.toCaller(response), load());
        if (attempt.isAnswerSent()) {
          attempts.remove(attempt.id());
        }
      }
      admitWaiting();
    }

    @Override
    public void onFailure(Failure failure) {
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
        if (attempt.upload().filter(GateUpload::isOpened).isEmpty()) {
          onConnectFailed();
        }
      }
      admitWaiting();
    }
  }

  /** Applies what the check of a target says that has run before this process. */
  private final class CheckListener implements TargetCheck.Listener {

    @Override
    public void onAnswer(ClientResponse response, Instant sentAt) {
      if (response.header(names.requestLimit()).isPresent()) {
        updateRateLimit(response, sentAt);
      }
      closeIfLeaving(response);
      ForwardedHeaders.coldLeft(response, names).ifPresent(callback::onColdLeft);
    }

    @Override
    public void onReplaced() {
      markAbsent("another target answered at its address");
    }

    @Override
    public void onEnd() {
      offerArrived();
    }
  }

  private void onUnsolicitedBytes(UnsolicitedBytes unsolicited) {
    metrics.countUnsolicitedBytes("target", unsolicited.position());
    log.event("unsolicited-bytes")
        .with("from", report.map(TargetReport::instance).orElse("-"))
        .with("position", unsolicited.position().name())
        .with("bytes", unsolicited.bytes())
        .write();
  }

  private void closeIfLeaving(ClientResponse response) {
    if (open && ForwardedHeaders.saysLeaving(response, names)) {
      leaving = report;
      close();
      callback.onTargetLeaves(report.get());
    }
  }

  private void updateRateLimit(ClientResponse response, Instant sentAt) {
    OptionalDouble named;
    try {
      named = ForwardedHeaders.requestLimit(response, names);
    } catch (IllegalArgumentException unreadable) {
      log.event("target-limit-unreadable").with("reason", unreadable.getMessage()).write();
      return;
    }
    if (rateLimit.onAnswer(named, sentAt, clock.instant())) {
      logLimit();
    }
  }

  private void logLimit() {
    log.event("target-limit")
        .with("target", report.map(TargetReport::instance).orElse("-"))
        .with("perSecond", rateLimit.perSecond().orElse(-1))
        .write();
  }

  /** Returns the rate limit that the target has named, in requests per second. */
  OptionalDouble limitPerSecond() {
    return rateLimit.perSecond();
  }

  private void onConnectFailed() {
    connectFailures++;
    if (connectFailures >= CONNECT_FAILURES_UNTIL_ABSENT) {
      markAbsent("connections to it can't be opened");
    }
  }

  private void markAbsent(String reason) {
    if (!absent) {
      absent = true;
      log.event("target-lost")
          .with("target", report.map(TargetReport::instance).orElse("-"))
          .with("reason", reason)
          .write();
      refuseWaiting(RefusalReason.TARGET_UNREACHABLE);
      callback.onReachabilityChange();
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
    callback.onExecutionEnd(attempt.begin(), result, took);
  }

  private void onTimeout(GateAttempt attempt) {
    if (attempts.get(attempt.id()) != attempt) {
      return;
    }
    attempt.cancelCall();
    if (!attempt.isSent()) {
      release(attempt, SlotEnd.OTHER, Result.NOT_RUN);
      refuse(attempt, RefusalReason.DEADLINE);
    } else {
      boolean senderIsSlow = attempt.awaitsSender(); // says nothing about the target
      release(
          attempt,
          senderIsSlow ? SlotEnd.OTHER : SlotEnd.OVERLOADED,
          senderIsSlow ? Result.NOT_RUN : Result.FAILURE);
      fail(attempt, FailureReason.TARGET_TIMEOUT);
    }
    admitWaiting();
  }

  private void cancel(CallChannel channel, AttemptId id) {
    GateAttempt attempt = attempts.get(id);
    if (attempt != null) {
      boolean notRun = !attempt.isSent();
      withdraw(attempt);
      channel.send(
          CallFrames.of(id).setCancelled(Cancelled.newBuilder().setNotRun(notRun)).build());
    }
  }

  private void withdraw(GateAttempt attempt) {
    attempts.remove(attempt.id());
    Instant now = clock.instant();
    if (!attempt.isDispatched()) {
      slots.withdraw(attempt.id());
      recordWithdrawal(attempt, Duration.ZERO, now);
    } else if (attempt.queue().release(attempt.id(), SlotEnd.OTHER, now).isPresent()) {
      running -= attempt.queue() == slots ? 1 : 0;
      attempt.cancelCall();
      recordWithdrawal(attempt, Duration.between(attempt.dispatchedAt(), now), now);
      admitWaiting();
    }
  }

  private void recordWithdrawal(GateAttempt attempt, Duration ran, Instant now) {
    metrics.countWithdrawn(attempt.isDispatched());
    log.request("attempt-withdrawn", attempt.begin().getRequestId())
        .with("target", attempt.begin().getExpectedInstance())
        .with("dispatched", String.valueOf(attempt.isDispatched()))
        .with("ranMillis", ran.toMillis())
        .with("heldMillis", Duration.between(attempt.arrivedAt(), now).toMillis())
        .with("lagMillis", lag.value().toMillis())
        .write();
  }

  private void addCredit(GateAttempt attempt, long bytes) {
    attempt.addCredit(bytes);
    if (attempt.isAnswerSent()) {
      attempts.remove(attempt.id());
    }
  }

  private void admitWaiting() {
    Instant now = clock.instant();
    for (SlotDecision decision : slots.poll(now)) {
      apply(decision);
    }
    awaitPermit(now);
  }

  private void refuseWaiting(RefusalReason reason) {
    for (SlotDecision decision : slots.drain()) {
      find(decision.attempt()).ifPresent(attempt -> refuse(attempt, reason));
    }
  }

  private void refuse(GateAttempt attempt, RefusalReason reason) {
    attempts.remove(attempt.id());
    if (isFull(reason) && cold.applies(clock.instant())) {
      metrics.countRefusedCold();
    }
    attempt
        .origin()
        .send(
            CallFrames.of(attempt.id())
                .setRefusal(
                    Refusal.newBuilder()
                        .setReason(reason)
                        .setLoad(load())
                        .setFreeInMicros(slots.expectedWait(clock.instant()).toNanos() / 1000))
                .build());
    metrics.countGateRefusal(reason.name(), attempt.begin().getNested());
    log.request("gate-refused", attempt.begin().getRequestId())
        .with("route", attempt.begin().getRoute())
        .with("target", attempt.begin().getExpectedInstance())
        .with("reason", reason.name())
        .with("running", running)
        .with("waiting", slots.queued())
        .with("limit", slots.effectiveSlots(clock.instant()))
        .with("account", attempt.begin().getAccount())
        .with("nested", String.valueOf(attempt.begin().getNested()))
        .with("goalMillis", attempt.begin().getGoalMicros() / 1000)
        .write();
  }

  private static boolean isFull(RefusalReason reason) {
    return reason == RefusalReason.QUEUE_FULL || reason == RefusalReason.DEADLINE;
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
    Instant now = clock.instant();
    return Load.newBuilder()
        .setBusy(slots.busy())
        .setQueued(slots.queued())
        .setLimit(slots.effectiveSlots(now))
        .setLagMicros(lag.value().toNanos() / 1000)
        .setServiceMicros(slots.meanServiceTime().toNanos() / 1000)
        .build();
  }

  /** Refuses attempts that can't be served in time and probes a target that stays silent. */
  void sweep() {
    if (slots.queued() > 0) {
      admitWaiting();
    }
    Instant now = clock.instant();
    boolean silent = running > 0 && now.isAfter(lastAnswerAt.plus(SILENCE_TIMEOUT));
    if (silent && !absent && now.isAfter(lastProbeAt.plus(SILENCE_TIMEOUT))) {
      lastProbeAt = now;
      target.probe(this::onProbeEnd);
    }
  }

  private void onProbeEnd(boolean reachable) {
    if (!reachable && running > 0) {
      markAbsent("it did not answer its requests, and a connection to it can't be opened");
      target.closeIdleConnections();
      List.copyOf(attempts.values()).stream()
          .filter(GateAttempt::isBetterRepeated)
          .forEach(this::giveUp);
    }
  }

  /** Ends an attempt that the target executes, so that it can be repeated elsewhere. */
  private void giveUp(GateAttempt attempt) {
    attempt.cancelCall();
    log.request("target-failed", attempt.begin().getRequestId())
        .with("target", attempt.begin().getExpectedInstance())
        .with("sent", "true")
        .with("reason", "target is silent and unreachable")
        .write();
    release(attempt, SlotEnd.OTHER, Result.FAILURE);
    fail(attempt, FailureReason.TARGET_BROKEN);
  }
}
