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

/** Carries one call of a caller through its attempts; used by one thread. */
final class CallRunner {

  private final EntryState entry;
  private final RouteTable table;
  private final CallerRequest request;
  private final CallerAnswer answer;
  private final CallTreePosition tree;
  private final Instant startedAt;
  private final Instant callerDeadline;
  private final Set<String> avoided = new HashSet<>();
  private final UploadState upload;
  private volatile OutgoingAttempt present;
  private volatile boolean parentEnded;
  private boolean mayHaveRun;

  CallRunner(
      EntryState entry,
      RouteTable table,
      CallerRequest request,
      CallerAnswer answer,
      CallTreePosition tree,
      Instant callerDeadline) {
    this.entry = entry;
    this.table = table;
    this.request = request;
    this.answer = answer;
    this.tree = tree;
    this.startedAt = entry.now();
    this.callerDeadline = callerDeadline;
    this.upload = new UploadState(request.complete());
  }

  /** Ends the call because the one that it was made for has ended; may be called by any thread. */
  void endWithParent() {
    parentEnded = true;
    OutgoingAttempt running = present;
    if (running != null) {
      running.add(new AttemptEvent.ParentEnded());
    }
  }

  /**
   * Runs the call to its end.
   *
   * @throws IOException if the caller is gone or its answer can't be finished
   */
  Conclusion run() throws IOException, InterruptedException {
    Conclusion last = null;
    for (int number = 1; ; number++) {
      RoutingDecision decision = entry.routing().decide(table, request.head(), avoided);
      AttemptId id = AttemptId.next(entry.random());
      DecisionLog.routed(decision, id, number);
      if (decision.target().isEmpty()) {
        return last != null ? last : refused(decision.reason());
      }
      Route route = decision.route().get();
      Member target = decision.target().get();
      AttemptResult result = attempt(route, target, id, number);
      if (result.outcome() == AttemptOutcome.ANSWERED) {
        answer.end();
        return Conclusion.answered();
      }
      mayHaveRun |= result.outcome() == AttemptOutcome.UNKNOWN;
      if (result.isLostWithTarget()) {
        entry.observeLoss(route, target);
      }
      last = conclusion(result);
      RetryPolicy.Decision retry = retry(result, route, number);
      DecisionLog.retried(id, result, retry, target);
      if (retry != RetryPolicy.Decision.RETRY || parentEnded) {
        return last;
      }
      avoided.add(target.instance());
      upload.restart();
    }
  }

  private Conclusion refused(Reason reason) {
    if (table.snapshot().version() == 0) {
      return Conclusion.notRun(ErrorCode.NOT_READY);
    }
    return reason == Reason.NO_ROUTE ? Conclusion.notFound(reason) : Conclusion.notRun(reason);
  }

  private Conclusion conclusion(AttemptResult result) {
    return mayHaveRun
        ? Conclusion.unknown(result.reason(), result.isLate())
        : Conclusion.notRun(result.reason());
  }

  private RetryPolicy.Decision retry(AttemptResult result, Route route, int number) {
    CallLimits limits = route.limits();
    return RetryPolicy.decide(
        new RetryPolicy.EndedAttempt(
            result.outcome(),
            result.overloaded(),
            number,
            request.head().isIdempotent(limits),
            upload.isReplayable(),
            Duration.between(entry.now(), deadline(limits)),
            tree),
        limits,
        entry.budget(route.name()));
  }

  private Instant deadline(CallLimits limits) {
    Instant routeDeadline = startedAt.plus(limits.timeout());
    return callerDeadline.isBefore(routeDeadline) ? callerDeadline : routeDeadline;
  }

  private AttemptResult attempt(Route route, Member target, AttemptId id, int number)
      throws IOException, InterruptedException {
    Instant begunAt = entry.now();
    OutgoingAttempt attempt = new OutgoingAttempt(id, target, begunAt);
    present = attempt;
    RetryBudget budget = entry.budget(route.name());
    if (number == 1) {
      budget.deposit(tree, route.limits().retryBudget());
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
    return measured(runner, begin(route, target, deadline, begunAt), target, begunAt);
  }

  private AttemptResult measured(AttemptRunner runner, Begin begin, Member target, Instant begunAt)
      throws IOException, InterruptedException {
    var loads = entry.routing().loads();
    loads.begin(target.instance(), begunAt);
    var end = org.cuminlatch.core.route.TargetLoads.AttemptEnd.INCONCLUSIVE;
    try {
      AttemptResult result = runner.run(begin);
      end = result.end();
      return result;
    } finally {
      Instant now = entry.now();
      loads.end(target.instance(), end, Duration.between(begunAt, now), now);
      if (entry.self().locality().distanceTo(target.locality()) == Distance.OTHER_REGION) {
        entry.routing().link().spend(runner.bytesMoved(), now);
      }
    }
  }

  private Begin begin(Route route, Member target, Instant deadline, Instant now) {
    return Begin.newBuilder()
        .setRoute(route.name())
        .setService(target.service())
        .setTargetVersion(target.targetVersion())
        .setMethod(request.head().method())
        .setPath(request.path())
        .addAllHeaders(request.headers())
        .setDeadlineMicros(Duration.between(now, deadline).toNanos() / 1000)
        .setDepth(tree.depth())
        .setRetried(tree.retried() || mayHaveRun)
        .setIdempotent(request.head().isIdempotent(route.limits()))
        .setIdempotencyKey(request.head().idempotencyKey(route.limits()).orElse(""))
        .setBody(UnsafeByteOperations.unsafeWrap(request.first()))
        .setBodyComplete(request.complete())
        .setContentLength(request.contentLength())
        .setCredit(entry.answerWindow())
        .build();
  }
}
