package org.cuminlatch.node.mesh;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.netty.buffer.Unpooled;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.cuminlatch.core.admission.RequestOrigin;
import org.cuminlatch.core.admission.StartupBacklog.Arrival;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.RoutePolicy.Repeatability;
import org.cuminlatch.core.membership.Locality.Distance;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.quota.QuotaClient.QuotaToken;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.core.retry.CallTreePosition;
import org.cuminlatch.core.route.HomeRegions;
import org.cuminlatch.core.route.ReportedLoad;
import org.cuminlatch.core.route.ServiceBalancer.ChosenTarget;
import org.cuminlatch.core.route.TargetLoads.AttemptEnd;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.http.ServerExchange;
import org.cuminlatch.wire.call.CallFrames;
import org.cuminlatch.wire.proto.call.Answer;
import org.cuminlatch.wire.proto.call.Begin;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.Cancel;
import org.cuminlatch.wire.proto.call.Credit;
import org.cuminlatch.wire.proto.call.Load;
import org.cuminlatch.wire.proto.call.Refusal;
import org.cuminlatch.wire.proto.call.RefusalReason;

/**
 * One request of a caller, from its arrival to its single outcome.
 *
 * <p>The outcome is an answer of a target; a refusal (503), only if no target has executed the
 * request or will execute it; or a failure (502, 504 or an aborted connection), after which it is
 * unknown whether a target has executed it.
 */
final class EntryCall implements AttemptListener {

  /**
   * Time after the deadline for which an answer is still awaited. Longer than that of the gate and
   * the way from it: an attempt that is taken back before the gate has given it up does not count
   * as a failure of its target.
   */
  private static final Duration DEADLINE_GRACE = Duration.ofMillis(250);

  /** Minimum time before the deadline in which another target is tried. */
  private static final Duration MIN_TIME_LEFT = Duration.ofMillis(15);

  /** Targets that are chosen for one call, including those that refuse it or have no open link. */
  private static final int MAX_PLACEMENTS = 4;

  /** Size of the part of an answer that may be on its way to a caller that reads slowly. */
  static final int ANSWER_WINDOW_BYTES = 256 * 1024;

  /** Waits of one call while targets that are linked during the node's start are full. */
  private static final int MAX_START_WAITS = 6;

  /** Lower bound of such a wait; each costs a message to a gate and its refusal. */
  private static final double MIN_START_WAIT_SECONDS = 0.1;

  /** Lower bound of the delay after which a refused caller should retry. */
  private static final double MIN_RETRY_AFTER_SECONDS = 0.02;

  /** Upper bound of the delay after which a refused caller should retry. */
  private static final double MAX_RETRY_AFTER_SECONDS = 1.0;

  private final EntryHandler entry;
  private final ServerExchange exchange;
  private final String id;
  private final Route route;
  private final CallerIdentity caller;
  private final Optional<QuotaToken> token;
  private final RequestOrigin origin;
  private final String service;
  private final boolean idempotent;
  private final Instant startedAt;
  private final Instant goal;
  private final Instant deadline;
  private final Future<?> timer;
  private final Optional<EntryUpload> upload;
  private final Set<String> triedInstances = new HashSet<>();
  private int placements;
  private int targetAttempts;

  /** Waits during the start of the node, including one before the call was created. */
  private int startWaits;

  private boolean waitExpired;
  private boolean mayHaveRun;
  private double slotFreeInSeconds = Double.MAX_VALUE;
  private String lastReason = "no target";
  private AttemptId attempt;
  private Member target;
  private TargetLink link;
  private Instant attemptStartedAt;

  /** Complete 5xx answer of an earlier attempt, for the caller if no retry is answered. */
  private Answer failureAnswer;

  private boolean answerStarted;
  private boolean ended;

  /**
   * Times of a call.
   *
   * @param arrivedAt estimated arrival at this node
   * @param goal time up to which an answer has its full worth for the caller
   * @param deadline end of the time that the caller and the route allow
   */
  record Times(Instant arrivedAt, Instant goal, Instant deadline) {}

  EntryCall(
      EntryHandler entry,
      ServerExchange exchange,
      String id,
      Route route,
      CallerIdentity caller,
      RequestOrigin origin,
      String service,
      Times times,
      Optional<QuotaToken> token) {
    this.entry = entry;
    this.exchange = exchange;
    this.id = id;
    this.route = route;
    this.caller = caller;
    this.token = token;
    this.origin = origin;
    this.service = service;
    this.startedAt = times.arrivedAt();
    this.goal = times.goal();
    this.idempotent = isIdempotent(exchange, route);
    this.startWaits = entry.startup().isStartingWaiting() ? 1 : 0;
    this.deadline = times.deadline();
    Duration maxWait = Duration.between(entry.now(), deadline).plus(DEADLINE_GRACE);
    this.timer = entry.loop().schedule(this::onTimeout, maxWait.toMillis(), TimeUnit.MILLISECONDS);
    exchange.onCallerDisconnected(this::handleCallerLeft);
    this.upload =
        exchange.isBodyComplete()
            ? Optional.empty()
            : Optional.of(new EntryUpload(exchange, entry.metrics(), this::onBodyAborted));
  }

  static boolean isIdempotent(ServerExchange exchange, Route route) {
    Repeatability repeatability = route.policy().repeatability();
    return repeatability == Repeatability.BY_METHOD
        ? route.limits().idempotentMethods().contains(exchange.method())
        : repeatability == Repeatability.IDEMPOTENT;
  }

  /** Returns the time that the caller of a request allows for the answer, if it says so. */
  static Optional<Duration> callerTimeout(EntryHandler entry, ServerExchange exchange) {
    Optional<String> text = exchange.header(entry.settings().headers().deadlineMillis());
    try {
      return text.map(millis -> Duration.ofNanos((long) (Double.parseDouble(millis) * 1e6)));
    } catch (NumberFormatException unreadable) {
      entry.log().event("deadline-unreadable").with("value", text.get()).write();
      return Optional.empty();
    }
  }

  Instant startedAt() {
    return startedAt;
  }

  void start() {
    entry.retryBudget(service).deposit(CallTreePosition.root(), EntryHandler.RETRY_SHARE);
    place();
  }

  private Duration timeLeft() {
    return Duration.between(entry.now(), deadline);
  }

  private void place() {
    if (placements >= MAX_PLACEMENTS || timeLeft().compareTo(MIN_TIME_LEFT) < 0) {
      endUnanswered();
      return;
    }
    Optional<ChosenTarget> placed =
        entry.place(service, homeRegions(), triedInstances, prefersNearest());
    if (placed.isEmpty()) {
      endUnanswered();
      return;
    }
    Optional<TargetLink> foundLink = entry.links().linkTo(placed.get().member().instance());
    if (foundLink.isEmpty()) {
      triedInstances.add(placed.get().member().instance());
      placements++;
      place();
      return;
    }
    begin(placed.get(), foundLink.get());
  }

  private HomeRegions homeRegions() {
    return entry.homeRegions(route, caller);
  }

  /** Returns true for first attempts of routes with large answers; a retry may go anywhere. */
  private boolean prefersNearest() {
    return targetAttempts == 0 && entry.answersAreLarge(route.name());
  }

  private void begin(ChosenTarget placed, TargetLink targetLink) {
    placements++;
    target = placed.member();
    link = targetLink;
    attempt = AttemptId.next(entry.random());
    attemptStartedAt = entry.now();
    triedInstances.add(target.instance());
    entry.loads().begin(target.instance(), attemptStartedAt);
    if (placements > 1 || EventLog.isSampled(id)) {
      entry
          .log()
          .request("routed", id)
          .with("route", route.name())
          .with("service", service)
          .with("target", target.instance())
          .with("version", target.targetVersion())
          .with("reason", placed.reason().name())
          .with("number", placements)
          .with("leftMillis", timeLeft().toMillis())
          .with("config", entry.configVersion())
          .write();
    }
    link.begin(attempt, CallFrames.of(attempt).setBegin(beginFrame()).build(), this);
  }

  private Begin beginFrame() {
    Begin.Builder begin = Begin.newBuilder();
    entry.namedLimits().of(target).ifPresent(begin::setLimitPerSecond);
    return begin
        .setRoute(route.name())
        .setService(service)
        .setTargetVersion(target.targetVersion())
        .setMethod(exchange.method())
        .setPath(exchange.requestTarget())
        .addAllHeaders(
            ForwardedHeaders.fromCaller(
                exchange, entry.settings().headers(), caller.hidesCredentials()))
        .setDeadlineMicros(timeLeft().toNanos() / 1000)
        .setRetried(targetAttempts > 0)
        .setIdempotent(idempotent)
        .setBody(
            upload.isPresent()
                ? ByteString.EMPTY
                : UnsafeByteOperations.unsafeWrap(exchange.body()))
        .setBodyComplete(upload.isEmpty())
        .setContentLength(exchange.declaredLength())
        .setCredit(ANSWER_WINDOW_BYTES)
        .setRequestId(id)
        .setOriginService(entry.settings().service())
        .setExpectedInstance(target.instance())
        .setPriority(caller.priorityOn(route))
        .setAccount(caller.accountName())
        .setNested(origin.nested())
        .setAccountWeight(origin.weight())
        .setColdPerSecond(entry.coldPerSecond(service))
        .setGoalMicros(Duration.between(entry.now(), goal).toNanos() / 1000)
        .build();
  }

  /** Returns whether a part of the body was sent, after which no other target can be tried. */
  private boolean isBodySent() {
    return upload.filter(EntryUpload::isSent).isPresent();
  }

  /**
   * Returns whether the outstanding attempt may have run. The gate sends nothing of an upload to
   * its target before it has got the first part of the body.
   */
  private boolean attemptMayHaveRun() {
    return attempt != null && (upload.isEmpty() || upload.get().isSent());
  }

  @Override
  public void onFrame(CallFrame frame) {
    if (ended || !CallFrames.attempt(frame).equals(attempt)) {
      return;
    }
    switch (frame.getKindCase()) {
      case ANSWER -> onAnswer(frame.getAnswer());
      case BODY -> forwardBody(frame.getBody().getContent(), frame.getBody().getLast());
      case CREDIT ->
          upload.ifPresent(body -> body.onCredit(link, attempt, frame.getCredit().getBytes()));
      case REFUSAL -> onRefusal(frame.getRefusal());
      case FAILURE -> {
        recordLoad(frame.getFailure().getLoad());
        onFailure(frame.getFailure().getReason().name(), AttemptEnd.FAILED);
      }
      default -> {}
    }
  }

  private void onAnswer(Answer answer) {
    recordLoad(answer.getLoad());
    if (ForwardedHeaders.saysLeaving(answer, entry.settings().headers())) {
      entry.links().exclude(target);
    }
    entry
        .namedLimits()
        .onAnswer(
            target,
            ForwardedHeaders.requestLimit(answer, entry.settings().headers()),
            attemptStartedAt,
            entry.now());
    boolean failure = answer.getStatus() >= 500;
    entry.metrics().recordAnswer(route.name(), answer.getStatus(), since(startedAt));
    if (failure && mayRetry()) {
      lastReason = "target answered " + answer.getStatus();
      link.unregister(attempt);
      link.send(CallFrames.of(attempt).setCancel(Cancel.getDefaultInstance()).build());
      endAttempt(AttemptEnd.FAILED);
      targetAttempts++;
      mayHaveRun = true;
      failureAnswer = answer.getLast() ? answer : null;
      retry();
      return;
    }
    upload.ifPresent(EntryUpload::stop);
    entry.recordAnswerSize(route.name(), answer.getContentLength());
    chargeRegionLink(answer.getContentLength());
    answerStarted = true;
    timer.cancel(false);
    endAttempt(failure ? AttemptEnd.FAILED : AttemptEnd.SERVED);
    List<Map.Entry<String, String>> headers = answerHeaders(answer);
    if (failure || EventLog.isSampled(id)) {
      entry
          .log()
          .request("answered", id)
          .with("route", route.name())
          .with("target", target.instance())
          .with("status", answer.getStatus())
          .with("tookMillis", since(startedAt).toMillis())
          .write();
    }
    if (answer.getLast()) {
      exchange.respond(answer.getStatus(), headers, answer.getBody().toByteArray());
      finish();
    } else {
      exchange.start(answer.getStatus(), headers, answer.getContentLength());
      forwardBody(answer.getBody(), false);
    }
  }

  private static List<Map.Entry<String, String>> answerHeaders(Answer answer) {
    return answer.getHeadersList().stream()
        .map(header -> Map.entry(header.getName(), header.getValue()))
        .toList();
  }

  private void forwardBody(ByteString content, boolean last) {
    int bytes = content.size();
    if (bytes > 0) {
      exchange
          .send(Unpooled.wrappedBuffer(content.asReadOnlyByteBuffer()))
          .addListener(written -> grantCredit(bytes));
    }
    if (last) {
      exchange.end();
      finish();
    }
  }

  private void grantCredit(int bytes) {
    if (!ended) {
      link.send(CallFrames.of(attempt).setCredit(Credit.newBuilder().setBytes(bytes)).build());
    }
  }

  private void onRefusal(Refusal refusal) {
    recordLoad(refusal.getLoad());
    RefusalReason reason = refusal.getReason();
    lastReason = reason.name();
    link.unregister(attempt);
    boolean reachedTarget =
        reason == RefusalReason.TARGET_SHED || reason == RefusalReason.TARGET_REPLACED;
    endAttempt(
        switch (reason) {
          case TARGET_SHED -> AttemptEnd.FAILED;
          case TARGET_UNREACHABLE -> AttemptEnd.UNREACHABLE;
          default -> AttemptEnd.INCONCLUSIVE;
        });
    if (reason == RefusalReason.QUEUE_FULL || reason == RefusalReason.DEADLINE) {
      slotFreeInSeconds = Math.min(slotFreeInSeconds, refusal.getFreeInMicros() / 1e6);
    }
    if (!reachedTarget && !isBodySent()) {
      place();
      return;
    }
    targetAttempts++;
    if (!isBodySent()
        && targetAttempts < route.limits().maxAttempts()
        && entry.retryBudget(service).tryWithdraw()) {
      place();
    } else {
      endUnanswered();
    }
  }

  private void onFailure(String reason, AttemptEnd end) {
    lastReason = reason;
    link.unregister(attempt);
    endAttempt(end);
    if (!attemptMayHaveRun()) {
      place();
      return;
    }
    targetAttempts++;
    mayHaveRun = true;
    entry
        .log()
        .request("attempt-failed", id)
        .with("route", route.name())
        .with("target", target.instance())
        .with("reason", reason)
        .with("number", placements)
        .with("idempotent", String.valueOf(idempotent))
        .with("leftMillis", timeLeft().toMillis())
        .write();
    if (mayRetryAfter(targetAttempts)) {
      retry();
    } else {
      endUnanswered();
    }
  }

  private boolean mayRetry() {
    return mayRetryAfter(targetAttempts + 1);
  }

  private boolean mayRetryAfter(int attemptsUsed) {
    return idempotent
        && !isBodySent()
        && attemptsUsed < route.limits().maxAttempts()
        && placements < MAX_PLACEMENTS
        && timeLeft().compareTo(MIN_TIME_LEFT) >= 0
        && entry.place(service, homeRegions(), triedInstances, false).isPresent()
        && entry.retryBudget(service).tryWithdraw();
  }

  private void retry() {
    entry.metrics().countRepeated(service);
    place();
  }

  @Override
  public void onLinkLost() {
    if (ended) {
      return;
    }
    if (answerStarted) {
      endEarly("connection to the target's node was lost before the end of the answer");
      exchange.abort();
      return;
    }
    onFailure("LINK_LOST", AttemptEnd.UNREACHABLE);
  }

  private void onTimeout() {
    if (ended || answerStarted) {
      return;
    }
    cancelAttempt();
    mayHaveRun |= attemptMayHaveRun();
    lastReason = "out of time";
    endUnanswered();
  }

  private void handleCallerLeft() {
    if (!ended) {
      giveBackUnused();
      endEarly("caller left");
      cancelAttempt();
    }
  }

  /** Gives the token of the quota back if the request has certainly not run. */
  private void giveBackUnused() {
    boolean nothingSent = attempt == null || (upload.isPresent() && !isBodySent());
    if (!mayHaveRun && nothingSent) {
      token.ifPresent(entry::giveBack);
    }
  }

  private void onBodyAborted() {
    if (!ended && !answerStarted) {
      giveBackUnused();
      endEarly("body ended early");
      cancelAttempt();
    }
  }

  private void cancelAttempt() {
    if (attempt != null) {
      link.send(CallFrames.of(attempt).setCancel(Cancel.getDefaultInstance()).build());
      link.unregister(attempt);
      endAttempt(AttemptEnd.INCONCLUSIVE);
    }
  }

  private void endEarly(String reason) {
    entry
        .log()
        .request("call-ended-early", id)
        .with("route", route.name())
        .with("reason", reason)
        .with("target", target == null ? "-" : target.instance())
        .with("number", placements)
        .with("attemptMillis", attemptStartedAt == null ? 0 : since(attemptStartedAt).toMillis())
        .with("tookMillis", since(startedAt).toMillis())
        .with("leftMillis", timeLeft().toMillis())
        .with("lagMillis", entry.lag().toMillis())
        .write();
    entry.metrics().countEndedEarly();
    finish();
  }

  /** Tries all targets again after a wait during the start of the node. */
  void resume() {
    placements = 0;
    triedInstances.clear();
    slotFreeInSeconds = Double.MAX_VALUE;
    place();
  }

  /** Ends the call, which has waited as long as it may. */
  void expireWait() {
    waitExpired = true;
    endUnanswered();
  }

  private boolean hasTarget() {
    return entry.hasTargetOf(service, homeRegions());
  }

  /**
   * Lets the call wait during the start of the node if there is no target of its service yet; or if
   * it has waited before and the few targets that are linked first are full, as all waiting calls
   * come to them at once. The call has not reached a target.
   */
  private boolean waitsForTarget() {
    if (targetAttempts > 0 || mayHaveRun || waitExpired) {
      return false;
    }
    boolean full = hasTarget();
    if (full && (startWaits == 0 || startWaits > MAX_START_WAITS)) {
      return false;
    }
    Duration minWait = full ? minStartWait() : Duration.ZERO;
    Arrival arrival = new Arrival(startedAt, deadline, exchange.heldBodyBytes());
    Instant tryAt = entry.now().plus(minWait);
    BooleanSupplier ready = () -> hasTarget() && !entry.now().isBefore(tryAt);
    String reason = full ? "targets are full" : "no target";
    boolean waits = entry.startup().awaitTarget(this, id, reason, arrival, ready);
    if (waits) {
      startWaits++;
      attempt = null; // it was refused
    }
    return waits;
  }

  private Duration minStartWait() {
    return Duration.ofNanos((long) (Math.max(MIN_START_WAIT_SECONDS, retryAfterSeconds()) * 1e9));
  }

  /** Ends a call that gets no further attempt, with the 5xx answer of an earlier one if any. */
  private void endUnanswered() {
    if (waitsForTarget()) {
      return;
    }
    if (failureAnswer != null) {
      exchange.respond(
          failureAnswer.getStatus(),
          answerHeaders(failureAnswer),
          failureAnswer.getBody().toByteArray());
    } else if (mayHaveRun) {
      int status = timeLeft().isNegative() ? 504 : 502;
      entry
          .log()
          .request("failed", id)
          .with("route", route.name())
          .with("status", status)
          .with("reason", lastReason)
          .with("attempts", placements)
          .with("tookMillis", since(startedAt).toMillis())
          .write();
      entry.metrics().countFailed(lastReason);
      exchange.respond(status, List.of(), (lastReason + "\n").getBytes(StandardCharsets.UTF_8));
    } else {
      String reason = hasTarget() ? lastReason : "no target of " + service;
      token.ifPresent(entry::giveBack);
      entry.refuse(exchange, id, reason, retryAfterSeconds());
    }
    finish();
  }

  private double retryAfterSeconds() {
    if (entry.startup().isStarting() && !hasTarget()) {
      return entry.startup().retryAfterSeconds(deadline);
    }
    double freeIn = slotFreeInSeconds == Double.MAX_VALUE ? 0.2 : slotFreeInSeconds;
    double jittered = freeIn * (0.75 + 0.5 * entry.random().nextDouble());
    return Math.max(MIN_RETRY_AFTER_SECONDS, Math.min(MAX_RETRY_AFTER_SECONDS, jittered));
  }

  private void finish() {
    ended = true;
    timer.cancel(false);
    upload.ifPresent(EntryUpload::end);
    if (link != null && attempt != null) {
      link.unregister(attempt);
    }
    entry.onEnded(this);
  }

  /** Records the end of the outstanding attempt, if there is one. */
  private void endAttempt(AttemptEnd end) {
    if (attemptStartedAt == null) {
      return;
    }
    Instant now = entry.now();
    entry.loads().end(target.instance(), end, Duration.between(attemptStartedAt, now), now);
    attemptStartedAt = null;
    chargeRegionLink(upload.map(EntryUpload::sentBytes).orElse((long) exchange.body().length));
  }

  /** Charges bytes to the budget of the link between the regions if they have crossed it. */
  private void chargeRegionLink(long bytes) {
    Distance distance = entry.settings().locality().distanceTo(target.locality());
    if (distance == Distance.OTHER_REGION) {
      entry.regionLink().spend(Math.max(0, bytes), entry.now());
    }
  }

  private void recordLoad(Load load) {
    entry
        .loads()
        .recordReport(
            target.instance(),
            new ReportedLoad(
                load.getBusy(),
                load.getQueued(),
                load.getLimit(),
                Duration.ofNanos(load.getLagMicros() * 1000),
                Duration.ofNanos(load.getServiceMicros() * 1000)),
            entry.now());
  }

  private Duration since(Instant time) {
    return Duration.between(time, entry.now());
  }
}
