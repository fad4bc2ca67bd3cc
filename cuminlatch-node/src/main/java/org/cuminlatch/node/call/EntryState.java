package org.cuminlatch.node.call;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.move.CallOutcome;
import org.cuminlatch.core.retry.RetryBudget;

/** State that all calls of an entry node share. */
final class EntryState {

  private static final int LARGE_ANSWER_WINDOW_BYTES = 128 * 1024;
  private static final int SMALL_ANSWER_WINDOW_BYTES = 32 * 1024;
  private static final int MAX_CALLS_WITH_LARGE_WINDOW = 64;

  private final CallPathDependencies dependencies;
  private final RoutingState routing;
  private final PeerPool pool;
  private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();
  private final AtomicInteger runningCalls = new AtomicInteger();

  EntryState(CallPathDependencies dependencies, RoutingState routing, PeerPool pool) {
    this.dependencies = dependencies;
    this.routing = routing;
    this.pool = pool;
  }

  RoutingState routing() {
    return routing;
  }

  PeerPool pool() {
    return pool;
  }

  RandomGenerator random() {
    return dependencies.random();
  }

  InstantSource clock() {
    return dependencies.clock();
  }

  Instant now() {
    return dependencies.clock().instant();
  }

  Member self() {
    return dependencies.self().get();
  }

  /** Reports a failed attempt that was lost together with the target's node. */
  void reportLostAttempt(Route route, Member target) {
    dependencies
        .outcomeListener()
        .onCallOutcome(
            new CallOutcome(
                route.name(),
                target.service(),
                target.targetVersion(),
                CallOutcome.Result.FAILURE,
                Duration.ZERO,
                false));
  }

  RetryBudget budget(String route) {
    return budgets.computeIfAbsent(route, name -> new RetryBudget());
  }

  /**
   * Returns how many bytes of an answer may be in transit without new credit; fewer while many
   * calls are running.
   */
  int answerWindowBytes() {
    return runningCalls.get() <= MAX_CALLS_WITH_LARGE_WINDOW
        ? LARGE_ANSWER_WINDOW_BYTES
        : SMALL_ANSWER_WINDOW_BYTES;
  }

  void callStarted() {
    runningCalls.incrementAndGet();
  }

  void callEnded() {
    runningCalls.decrementAndGet();
  }

  boolean isIdle() {
    return runningCalls.get() == 0;
  }
}
