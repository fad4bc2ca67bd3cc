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
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.RoutePolicy.Repeatability;
import org.cuminlatch.core.membership.Locality.Distance;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.core.retry.CallTreePosition;
import org.cuminlatch.core.route.ReportedLoad;
import org.cuminlatch.core.route.ServiceBalancer.ChosenTarget;
import org.cuminlatch.core.route.TargetLoads.AttemptEnd;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.http.ServerExchange;
import org.cuminlatch.wire.call.CallFrames;
import org.cuminlatch.wire.proto.call.Answer;
import org.cuminlatch.wire.proto.call.Begin;
import org.cuminlatch.wire.proto.call.Body;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.Cancel;
import org.cuminlatch.wire.proto.call.Credit;
import org.cuminlatch.wire.proto.call.Load;
import org.cuminlatch.wire.proto.call.Refusal;
import org.cuminlatch.wire.proto.call.RefusalReason;

/**
 * One request of a caller, from its arrival to its one end.
 *
 * <p>It ends as answered by a target; as refused (503), which is said only if no target has
 * executed it or ever will; or as failed (502, 504 or a connection that ends), which promises
 * nothing.
 */
final class EntryCall implements AttemptListener {

  /** Time past the deadline for which an answer that is on its way is still awaited. */
  private static final Duration DEADLINE_GRACE = Duration.ofMillis(250);

  /** Least time left for which another target is tried. */
  private static final Duration LEAST_TIME_LEFT = Duration.ofMillis(15);

  private static final int MOST_PLACEMENTS = 4;
  private static final int ANSWER_WINDOW_BYTES = 256 * 1024;
  private static final int BODY_FRAME_BYTES = 256 * 1024;

  /** Bounds of what a refused caller is told to wait. */
  private static final double SHORTEST_RETRY_SECONDS = 0.02;

  private static final double LONGEST_RETRY_SECONDS = 1.0;

  private final Entry entry;
  private final ServerExchange exchange;
  private final String id;
  private final Route route;
  private final String service;
  private final boolean idempotent;
  private final Instant startedAt;
  private final Instant deadline;
  private final Future<?> timer;
  private final Set<String> avoided = new HashSet<>();
  private int placements;
  private int reached;
  private boolean mayHaveRun;
  private double freeInSeconds = Double.MAX_VALUE;
  private String lastReason = "no target";
  private AttemptId attempt;
  private Member target;
  private TargetLink link;
  private Instant attemptAt;

  /** Whole answer with a failure of a target that was tried before, for want of a better one. */
  private Answer failureAnswer;

  private boolean answering;
  private boolean ended;

  EntryCall(Entry entry, ServerExchange exchange, String id, Route route, String service) {
    this.entry = entry;
    this.exchange = exchange;
    this.id = id;
    this.route = route;
    this.service = service;
    this.startedAt = entry.arrival();
    this.idempotent = isIdempotent(exchange, route);
    this.deadline = startedAt.plus(timeAllowed(entry, exchange, route));
    Duration most = Duration.between(entry.now(), deadline).plus(DEADLINE_GRACE);
    this.timer = entry.loop().schedule(this::outOfTime, most.toMillis(), TimeUnit.MILLISECONDS);
    exchange.onCallerLeft(this::callerLeft);
  }

  private static boolean isIdempotent(ServerExchange exchange, Route route) {
    Repeatability repeatability = route.policy().repeatability();
    return repeatability == Repeatability.BY_METHOD
        ? route.limits().idempotentMethods().contains(exchange.method())
        : repeatability == Repeatability.IDEMPOTENT;
  }

  private static Duration timeAllowed(Entry entry, ServerExchange exchange, Route route) {
    Duration timeout = route.limits().timeout();
    Optional<String> text = exchange.header(entry.settings().headers().deadlineMillis());
    if (text.isEmpty()) {
      return timeout;
    }
    try {
      Duration caller = Duration.ofNanos((long) (Double.parseDouble(text.get()) * 1e6));
      return caller.compareTo(timeout) < 0 ? caller : timeout;
    } catch (NumberFormatException unreadable) {
      entry.log().event("deadline-unreadable").with("value", text.get()).write();
      return timeout;
    }
  }

  Instant startedAt() {
    return startedAt;
  }

  void start() {
    entry.budget(service).deposit(CallTreePosition.root(), Entry.RETRY_SHARE);
    place();
  }

  private Duration left() {
    return Duration.between(entry.now(), deadline);
  }

  private void place() {
    if (placements >= MOST_PLACEMENTS || left().compareTo(LEAST_TIME_LEFT) < 0) {
      giveUp();
      return;
    }
    Optional<ChosenTarget> placed = entry.place(service, avoided, staysNear());
    if (placed.isEmpty()) {
      giveUp();
      return;
    }
    Optional<TargetLink> found = entry.links().linkTo(placed.get().member().instance());
    if (found.isEmpty()) {
      avoided.add(placed.get().member().instance());
      placements++;
      place();
      return;
    }
    begin(placed.get(), found.get());
  }

  /** A first attempt with a large answer stays near; a repeat may go where it can. */
  private boolean staysNear() {
    return reached == 0 && entry.answersAreLarge(route.name());
  }

  private void begin(ChosenTarget placed, TargetLink chosen) {
    placements++;
    target = placed.member();
    link = chosen;
    attempt = AttemptId.next(entry.random());
    attemptAt = entry.now();
    avoided.add(target.instance());
    entry.loads().begin(target.instance(), attemptAt);
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
          .with("leftMillis", left().toMillis())
          .with("config", entry.configVersion())
          .write();
    }
    byte[] body = exchange.body();
    boolean whole = body.length <= BODY_FRAME_BYTES;
    ByteString first = whole ? UnsafeByteOperations.unsafeWrap(body) : ByteString.EMPTY;
    link.begin(attempt, CallFrames.of(attempt).setBegin(beginFrame(first, whole)).build(), this);
    if (!whole) {
      sendBody(body);
    }
  }

  private Begin beginFrame(ByteString first, boolean whole) {
    return Begin.newBuilder()
        .setRoute(route.name())
        .setService(service)
        .setTargetVersion(target.targetVersion())
        .setMethod(exchange.method())
        .setPath(exchange.target())
        .addAllHeaders(GateHeaders.fromCaller(exchange, entry.settings().headers()))
        .setDeadlineMicros(left().toNanos() / 1000)
        .setRetried(reached > 0)
        .setIdempotent(idempotent)
        .setBody(first)
        .setBodyComplete(whole)
        .setCredit(ANSWER_WINDOW_BYTES)
        .setRequestId(id)
        .setOriginService(entry.settings().service())
        .setExpectedInstance(target.instance())
        .setPriority(route.policy().priority())
        .setGoalMicros(
            Duration.between(entry.now(), startedAt.plus(route.policy().goal())).toNanos() / 1000)
        .build();
  }

  private void sendBody(byte[] body) {
    for (int from = 0; from < body.length; from += BODY_FRAME_BYTES) {
      int length = Math.min(BODY_FRAME_BYTES, body.length - from);
      ByteString part = UnsafeByteOperations.unsafeWrap(body, from, length);
      link.send(
          CallFrames.of(attempt)
              .setBody(Body.newBuilder().setContent(part).setLast(from + length == body.length))
              .build());
    }
  }

  @Override
  public void received(CallFrame frame) {
    if (ended || !CallFrames.attempt(frame).equals(attempt)) {
      return;
    }
    switch (frame.getKindCase()) {
      case ANSWER -> answered(frame.getAnswer());
      case BODY -> body(frame.getBody().getContent(), frame.getBody().getLast());
      case REFUSAL -> refused(frame.getRefusal());
      case FAILURE -> {
        report(frame.getFailure().getLoad());
        failed(frame.getFailure().getReason().name(), AttemptEnd.FAILED);
      }
      default -> {}
    }
  }

  private void answered(Answer answer) {
    report(answer.getLoad());
    boolean failure = answer.getStatus() >= 500;
    entry.metrics().answered(route.name(), answer.getStatus(), since(startedAt));
    if (failure && mayRepeat()) {
      lastReason = "target answered " + answer.getStatus();
      link.forget(attempt);
      link.send(CallFrames.of(attempt).setCancel(Cancel.getDefaultInstance()).build());
      endAttempt(AttemptEnd.FAILED);
      reached++;
      mayHaveRun = true;
      failureAnswer = answer.getLast() ? answer : null;
      repeat();
      return;
    }
    entry.answerSize(route.name(), answer.getContentLength());
    chargeLink(answer.getContentLength());
    answering = true;
    timer.cancel(false);
    endAttempt(failure ? AttemptEnd.FAILED : AttemptEnd.SERVED);
    List<Map.Entry<String, String>> headers = headersOf(answer);
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
      body(answer.getBody(), false);
    }
  }

  private static List<Map.Entry<String, String>> headersOf(Answer answer) {
    return answer.getHeadersList().stream()
        .map(header -> Map.entry(header.getName(), header.getValue()))
        .toList();
  }

  private void body(ByteString content, boolean last) {
    int bytes = content.size();
    if (bytes > 0) {
      exchange
          .send(Unpooled.wrappedBuffer(content.asReadOnlyByteBuffer()))
          .addListener(written -> grant(bytes));
    }
    if (last) {
      exchange.end();
      finish();
    }
  }

  private void grant(int bytes) {
    if (!ended) {
      link.send(CallFrames.of(attempt).setCredit(Credit.newBuilder().setBytes(bytes)).build());
    }
  }

  private void refused(Refusal refusal) {
    report(refusal.getLoad());
    RefusalReason reason = refusal.getReason();
    lastReason = reason.name();
    link.forget(attempt);
    boolean arrived =
        reason == RefusalReason.TARGET_SHED || reason == RefusalReason.TARGET_REPLACED;
    endAttempt(
        switch (reason) {
          case TARGET_SHED -> AttemptEnd.FAILED;
          case TARGET_UNREACHABLE -> AttemptEnd.UNREACHABLE;
          default -> AttemptEnd.INCONCLUSIVE;
        });
    if (reason == RefusalReason.QUEUE_FULL || reason == RefusalReason.DEADLINE) {
      freeInSeconds = Math.min(freeInSeconds, refusal.getFreeInMicros() / 1e6);
    }
    if (!arrived) {
      place();
      return;
    }
    reached++;
    if (reached < route.limits().maxAttempts() && entry.budget(service).tryWithdraw()) {
      place();
    } else {
      giveUp();
    }
  }

  private void failed(String reason, AttemptEnd end) {
    lastReason = reason;
    link.forget(attempt);
    endAttempt(end);
    reached++;
    mayHaveRun = true;
    entry
        .log()
        .request("attempt-failed", id)
        .with("route", route.name())
        .with("target", target.instance())
        .with("reason", reason)
        .with("number", placements)
        .with("idempotent", String.valueOf(idempotent))
        .with("leftMillis", left().toMillis())
        .write();
    if (mayRepeatAfter(reached)) {
      repeat();
    } else {
      giveUp();
    }
  }

  private boolean mayRepeat() {
    return mayRepeatAfter(reached + 1);
  }

  private boolean mayRepeatAfter(int attemptsUsed) {
    return idempotent
        && attemptsUsed < route.limits().maxAttempts()
        && placements < MOST_PLACEMENTS
        && left().compareTo(LEAST_TIME_LEFT) >= 0
        && entry.place(service, avoided, false).isPresent()
        && entry.budget(service).tryWithdraw();
  }

  private void repeat() {
    entry.metrics().repeated(service);
    place();
  }

  @Override
  public void linkLost() {
    if (ended) {
      return;
    }
    if (answering) {
      endEarly("connection to the target's node lost while the answer was on its way");
      exchange.abort();
      return;
    }
    failed("LINK_LOST", AttemptEnd.UNREACHABLE);
  }

  private void outOfTime() {
    if (ended || answering) {
      return;
    }
    cancelAttempt();
    mayHaveRun |= attempt != null;
    lastReason = "out of time";
    giveUp();
  }

  private void callerLeft() {
    if (!ended) {
      endEarly("caller left");
      cancelAttempt();
    }
  }

  private void cancelAttempt() {
    if (attempt != null) {
      link.send(CallFrames.of(attempt).setCancel(Cancel.getDefaultInstance()).build());
      link.forget(attempt);
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
        .with("attemptMillis", attemptAt == null ? 0 : since(attemptAt).toMillis())
        .with("tookMillis", since(startedAt).toMillis())
        .write();
    entry.metrics().endedEarly();
    finish();
  }

  /** Ends a call that no target has answered. */
  private void giveUp() {
    if (failureAnswer != null) {
      exchange.respond(
          failureAnswer.getStatus(),
          headersOf(failureAnswer),
          failureAnswer.getBody().toByteArray());
    } else if (mayHaveRun) {
      int status = left().isNegative() ? 504 : 502;
      entry
          .log()
          .request("failed", id)
          .with("route", route.name())
          .with("status", status)
          .with("reason", lastReason)
          .with("attempts", placements)
          .with("tookMillis", since(startedAt).toMillis())
          .write();
      entry.metrics().failed(lastReason);
      exchange.respond(status, List.of(), (lastReason + "\n").getBytes(StandardCharsets.UTF_8));
    } else {
      String reason = entry.knowsTargetOf(service) ? lastReason : "no target of " + service;
      entry.refuse(exchange, id, reason, retrySeconds());
    }
    finish();
  }

  private double retrySeconds() {
    double free = freeInSeconds == Double.MAX_VALUE ? 0.2 : freeInSeconds;
    double jittered = free * (0.75 + 0.5 * entry.random().nextDouble());
    return Math.max(SHORTEST_RETRY_SECONDS, Math.min(LONGEST_RETRY_SECONDS, jittered));
  }

  private void finish() {
    ended = true;
    timer.cancel(false);
    if (link != null && attempt != null) {
      link.forget(attempt);
    }
    entry.ended(this);
  }

  /** Takes an attempt out of what is known as outstanding, once. */
  private void endAttempt(AttemptEnd end) {
    if (attemptAt == null) {
      return;
    }
    Instant now = entry.now();
    entry.loads().end(target.instance(), end, Duration.between(attemptAt, now), now);
    attemptAt = null;
    chargeLink(exchange.body().length);
  }

  /** Takes bytes from the budget of the link between the regions if they have crossed it. */
  private void chargeLink(long bytes) {
    Distance distance = entry.settings().locality().distanceTo(target.locality());
    if (distance == Distance.OTHER_REGION) {
      entry.link().spend(Math.max(0, bytes), entry.now());
    }
  }

  private void report(Load load) {
    entry
        .loads()
        .recordReport(
            target.instance(),
            new ReportedLoad(
                load.getBusy(),
                load.getQueued(),
                load.getLimit(),
                Duration.ofNanos(load.getLagMicros() * 1000)),
            entry.now());
  }

  private Duration since(Instant time) {
    return Duration.between(time, entry.now());
  }
}
