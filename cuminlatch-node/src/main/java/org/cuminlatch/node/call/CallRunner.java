package org.cuminlatch.node.call;

import com.google.protobuf.UnsafeByteOperations;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.cuminlatch.core.config.CallLimits;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.membership.Locality.Distance;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.core.retry.AttemptOutcome;
import org.cuminlatch.core.retry.CallTreePosition;
import org.cuminlatch.core.retry.RetryBudget;
import org.cuminlatch.core.retry.RetryPolicy;
import org.cuminlatch.core.route.RouteTable;
import org.cuminlatch.core.route.RoutingDecision;
import org.cuminlatch.core.route.RoutingDecision.Reason;
import org.cuminlatch.wire.proto.call.Begin;

/**
 * Runs one call of a caller: routes it, makes attempts and decides on retries. Used by the one
 * thread of the call, except {@link #cancelWithParent()}.
 */
final class CallRunner {

  private final EntryState entry;
  private final RouteTable table;
  private final CallerRequest request;
  private final CallerAnswerWriter answer;
  private final CallTreePosition treePosition;
  private final Instant startedAt;
  private final Instant callerDeadline;
  private final Set<String> triedInstances = new HashSet<>();
  private final BodyUpload upload;
  private volatile OutgoingAttempt currentAttempt;
  private volatile boolean parentEnded;
  private boolean mayHaveRun;

  CallRunner(
      EntryState entry,
      RouteTable table,
      CallerRequest request,
      CallerAnswerWriter answer,
      CallTreePosition treePosition,
      Instant callerDeadline) {
    this.entry = entry;
    this.table = table;
    this.request = request;
    this.answer = answer;
    this.treePosition = treePosition;
    this.startedAt = entry.now();
    this.callerDeadline = callerDeadline;
    this.upload = new BodyUpload(request.bodyComplete());
  }

  /** Ends the call because its parent call has ended; may be called by any thread. */
  void cancelWithParent() {
    parentEnded = true;
    OutgoingAttempt running = currentAttempt;
    if (running != null) {
      running.addEvent(new AttemptEvent.ParentEnded());
    }
  }

  /**
   * Runs the call until it is answered or no further attempt is allowed.
   *
   * @throws IOException if the caller has disconnected or its answer can't be completed
   */
  CallResult run() throws IOException, InterruptedException {
    CallResult last = null;
    for (int number = 1; ; number++) {
      RoutingDecision decision = entry.routing().decide(table, request.head(), triedInstances);
      AttemptId id = AttemptId.next(entry.random());
      DecisionLog.logRouting(decision, id, number);
      if (decision.target().isEmpty()) {
        return last != null ? last : withoutTarget(decision.reason());
      }
      Route route = decision.route().get();
      Member target = decision.target().get();
      AttemptResult result = attempt(route, target, id, number);
      if (result.outcome() == AttemptOutcome.ANSWERED) {
        answer.end();
        return CallResult.answered();
      }
      mayHaveRun |= result.outcome() == AttemptOutcome.UNKNOWN;
      if (result.isLostWithTargetNode()) {
        entry.reportLostAttempt(route, target);
      }
      last = callResult(result);
      RetryPolicy.Decision retry = decideRetry(result, route, number);
      DecisionLog.logRetry(id, result, retry, target);
      if (retry != RetryPolicy.Decision.RETRY || parentEnded) {
        return last;
      }
      triedInstances.add(target.instance());
      upload.restart();
    }
  }

  private CallResult withoutTarget(Reason reason) {
    if (table.snapshot().version() == 0) {
      return CallResult.notRun(ErrorCode.NOT_READY);
    }
    return reason == Reason.NO_ROUTE ? CallResult.notFound(reason) : CallResult.notRun(reason);
  }

  private CallResult callResult(AttemptResult result) {
    return mayHaveRun
        ? CallResult.unknown(result.reason(), result.isTimeout())
        : CallResult.notRun(result.reason());
  }

  private RetryPolicy.Decision decideRetry(AttemptResult result, Route route, int number) {
    CallLimits limits = route.limits();
    return RetryPolicy.decide(
        new RetryPolicy.EndedAttempt(
            result.outcome(),
            result.overloaded(),
            number,
            request.head().isIdempotent(limits),
            upload.isReplayable(),
            Duration.between(entry.now(), deadline(limits)),
            treePosition),
        limits,
        entry.budget(route.name()));
  }

  private Instant deadline(CallLimits limits) {
    Instant routeDeadline = startedAt.plus(limits.timeout());
    return callerDeadline.isBefore(routeDeadline) ? callerDeadline : routeDeadline;
  }

  private AttemptResult attempt(Route route, Member target, AttemptId id, int number)
      throws IOException, InterruptedException {
    Instant attemptStartedAt = entry.now();
    OutgoingAttempt attempt = new OutgoingAttempt(id, target, attemptStartedAt);
    currentAttempt = attempt;
    RetryBudget budget = entry.budget(route.name());
    if (number == 1) {
      budget.deposit(treePosition, route.limits().retryBudget());
    }
    Instant deadline = deadline(route.limits());
    AttemptRunner runner =
        new AttemptRunner(
            entry.pool(),
            entry.routing().loads(),
            entry.clock(),
            attempt,
            request,
            answer,
            upload,
            deadline);
    if (parentEnded) {
      return AttemptResult.cancelled(true, AttemptResult.LocalReason.PARENT_ENDED);
    }
    return runAndRecord(
        runner, beginFrame(route, target, deadline, attemptStartedAt), target, attemptStartedAt);
  }

  private AttemptResult runAndRecord(
      AttemptRunner runner, Begin begin, Member target, Instant attemptStartedAt)
      throws IOException, InterruptedException {
    var loads = entry.routing().loads();
    loads.begin(target.instance(), attemptStartedAt);
    var end = org.cuminlatch.core.route.TargetLoads.AttemptEnd.INCONCLUSIVE;
    try {
      AttemptResult result = runner.run(begin);
      end = result.targetEnd();
      return result;
    } finally {
      Instant now = entry.now();
      loads.end(target.instance(), end, Duration.between(attemptStartedAt, now), now);
      if (entry.self().locality().distanceTo(target.locality()) == Distance.OTHER_REGION) {
        entry.routing().link().spend(runner.bytesTransferred(), now);
      }
    }
  }

  private Begin beginFrame(Route route, Member target, Instant deadline, Instant now) {
    return Begin.newBuilder()
        .setRoute(route.name())
        .setService(target.service())
        .setTargetVersion(target.targetVersion())
        .setMethod(request.head().method())
        .setPath(request.path())
        .addAllHeaders(request.headers())
        .setDeadlineMicros(Duration.between(now, deadline).toNanos() / 1000)
        .setDepth(treePosition.depth())
        .setRetried(treePosition.retried() || mayHaveRun)
        .setIdempotent(request.head().isIdempotent(route.limits()))
        .setIdempotencyKey(request.head().idempotencyKey(route.limits()).orElse(""))
        .setBody(UnsafeByteOperations.unsafeWrap(request.bodyStart()))
        .setBodyComplete(request.bodyComplete())
        .setContentLength(request.contentLength())
        .setCredit(entry.answerWindowBytes())
        .build();
  }
}
