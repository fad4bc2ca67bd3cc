package org.cuminlatch.node.call;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.cuminlatch.core.config.CallLimits;
import org.cuminlatch.core.retry.CallTreePosition;
import org.cuminlatch.core.route.RequestHead;
import org.cuminlatch.core.route.RouteTable;
import org.cuminlatch.node.call.AttemptResult.LocalReason;

/** Handles the HTTP requests of callers at the entry node. */
final class EntryHandler implements HttpHandler {

  private final EntryState entry;
  private final TargetGate gate;
  private final MetricRegistry metrics;
  private final Timer latency;
  private volatile boolean closeAfterAnswer;
  private volatile boolean refusingAll;

  EntryHandler(EntryState entry, TargetGate gate, MetricRegistry metrics) {
    this.entry = entry;
    this.gate = gate;
    this.metrics = metrics;
    this.latency = metrics.timer("calls.latency");
  }

  /** Closes callers' connections after their next answer, so that they connect to other nodes. */
  void closeConnectionsAfterAnswer() {
    closeAfterAnswer = true;
  }

  /** Refuses all further requests. */
  void refuseAll() {
    refusingAll = true;
  }

  @Override
  public void handle(HttpExchange exchange) throws IOException {
    entry.callStarted();
    Timer.Context running = latency.time();
    try {
      handleCall(exchange);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IOException("the call was interrupted because the node is closing", interrupted);
    } finally {
      running.stop();
      entry.callEnded();
    }
  }

  private void handleCall(HttpExchange exchange) throws IOException, InterruptedException {
    RouteTable table = entry.routing().table();
    CallerAnswerWriter answer =
        new CallerAnswerWriter(exchange, table.snapshot().version(), closeAfterAnswer);
    CallResult result = runCall(exchange, table, answer);
    metrics.counter("calls." + CallResult.outcomeName(result.outcome())).inc();
    if (!answer.isStarted()) {
      answer.writeResult(result);
    }
  }

  private CallResult runCall(HttpExchange exchange, RouteTable table, CallerAnswerWriter answer)
      throws IOException, InterruptedException {
    if (refusingAll) {
      return CallResult.notRun(LocalReason.NODE_LEAVING);
    }
    if (EntryExecutor.exceedsThreadLimit()) {
      return CallResult.notRun(LocalReason.NODE_BUSY);
    }
    CallerRequest request = CallerRequest.read(exchange);
    Optional<AttemptToken> parentToken =
        request.head().header(CallHeaders.ATTEMPT).flatMap(AttemptToken::parse);
    if (parentToken.isPresent()
        && parentToken.get().treePosition().depth() >= CallTreePosition.MAX_DEPTH) {
      return CallResult.notRun(LocalReason.TOO_DEEP);
    }
    Optional<RunningAttempt> parentAttempt =
        parentToken.flatMap(token -> gate.find(token.attempt()));
    CallTreePosition treePosition =
        parentToken
            .map(
                token ->
                    new CallTreePosition(
                        token.treePosition().depth() + 1, token.treePosition().retried()))
            .orElse(CallTreePosition.root());
    CallRunner runner =
        new CallRunner(
            entry, table, request, answer, treePosition, deadline(request.head(), parentAttempt));
    return run(runner, parentAttempt);
  }

  private static CallResult run(CallRunner runner, Optional<RunningAttempt> parentAttempt)
      throws IOException, InterruptedException {
    Runnable cancellation = runner::cancelWithParent;
    parentAttempt.ifPresent(attempt -> attempt.addChild(cancellation));
    try {
      return runner.run();
    } finally {
      parentAttempt.ifPresent(attempt -> attempt.removeChild(cancellation));
    }
  }

  private Instant deadline(RequestHead head, Optional<RunningAttempt> parentAttempt) {
    Instant callerDeadline =
        entry
            .now()
            .plus(
                head.header(CallHeaders.DEADLINE_MILLIS)
                    .flatMap(EntryHandler::parseMillis)
                    .orElse(CallLimits.MAX_TIMEOUT));
    return parentAttempt
        .map(RunningAttempt::deadline)
        .filter(deadline -> deadline.isBefore(callerDeadline))
        .orElse(callerDeadline);
  }

  private static Optional<Duration> parseMillis(String text) {
    try {
      return Optional.of(Duration.ofMillis(Long.parseLong(text.trim())));
    } catch (NumberFormatException malformed) {
      return Optional.empty();
    }
  }
}
