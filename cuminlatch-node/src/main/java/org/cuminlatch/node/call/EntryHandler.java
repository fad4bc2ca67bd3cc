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

/** Takes the requests of callers. */
final class EntryHandler implements HttpHandler {

  private final EntryState entry;
  private final TargetGate gate;
  private final MetricRegistry metrics;
  private final Timer latency;
  private volatile boolean leaving;
  private volatile boolean closed;

  EntryHandler(EntryState entry, TargetGate gate, MetricRegistry metrics) {
    this.entry = entry;
    this.gate = gate;
    this.metrics = metrics;
    this.latency = metrics.timer("calls.latency");
  }

  /** Asks callers to connect elsewhere. */
  void leave() {
    leaving = true;
  }

  /** Refuses every further request. */
  void refuseAll() {
    closed = true;
  }

  @Override
  public void handle(HttpExchange exchange) throws IOException {
    entry.callBegins();
    Timer.Context running = latency.time();
    try {
      carry(exchange);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IOException("the node is closing", interrupted);
    } finally {
      running.stop();
      entry.callEnds();
    }
  }

  private void carry(HttpExchange exchange) throws IOException, InterruptedException {
    RouteTable table = entry.routing().table();
    CallerAnswer answer = new CallerAnswer(exchange, table.snapshot().version(), leaving);
    Conclusion conclusion = conclude(exchange, table, answer);
    metrics.counter("calls." + Conclusion.word(conclusion.outcome())).inc();
    if (!answer.isBegun()) {
      answer.refuse(conclusion);
    }
  }

  private Conclusion conclude(HttpExchange exchange, RouteTable table, CallerAnswer answer)
      throws IOException, InterruptedException {
    if (closed) {
      return Conclusion.notRun(LocalReason.NODE_LEAVING);
    }
    if (EntryExecutor.isSurplus()) {
      return Conclusion.notRun(LocalReason.NODE_BUSY);
    }
    CallerRequest request = CallerRequest.read(exchange);
    Optional<CallToken> parent =
        request.head().header(CallHeaders.ATTEMPT).flatMap(CallToken::parse);
    if (parent.isPresent() && parent.get().tree().depth() >= CallTreePosition.MAX_DEPTH) {
      return Conclusion.notRun(LocalReason.TOO_DEEP);
    }
    Optional<RunningAttempt> above = parent.flatMap(token -> gate.find(token.attempt()));
    CallTreePosition tree =
        parent
            .map(token -> new CallTreePosition(token.tree().depth() + 1, token.tree().retried()))
            .orElse(CallTreePosition.root());
    CallRunner runner =
        new CallRunner(entry, table, request, answer, tree, deadline(request.head(), above));
    return run(runner, above);
  }

  private static Conclusion run(CallRunner runner, Optional<RunningAttempt> above)
      throws IOException, InterruptedException {
    Runnable end = runner::endWithParent;
    above.ifPresent(attempt -> attempt.addChild(end));
    try {
      return runner.run();
    } finally {
      above.ifPresent(attempt -> attempt.removeChild(end));
    }
  }

  private Instant deadline(RequestHead head, Optional<RunningAttempt> above) {
    Instant own =
        entry
            .now()
            .plus(
                head.header(CallHeaders.DEADLINE_MILLIS)
                    .flatMap(EntryHandler::millis)
                    .orElse(CallLimits.MAX_TIMEOUT));
    return above
        .map(RunningAttempt::deadline)
        .filter(deadline -> deadline.isBefore(own))
        .orElse(own);
  }

  private static Optional<Duration> millis(String text) {
    try {
      return Optional.of(Duration.ofMillis(Long.parseLong(text.trim())));
    } catch (NumberFormatException malformed) {
      return Optional.empty();
    }
  }
}
