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

/** What all calls that enter a node share. */
final class EntryState {

  private static final int WIDE_WINDOW_BYTES = 128 * 1024;
  private static final int NARROW_WINDOW_BYTES = 32 * 1024;
  private static final int CALLS_WITH_WIDE_WINDOW = 64;

  private final CallPathInputs inputs;
  private final RoutingState routing;
  private final PeerPool pool;
  private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();
  private final AtomicInteger calls = new AtomicInteger();

  EntryState(CallPathInputs inputs, RoutingState routing, PeerPool pool) {
    this.inputs = inputs;
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
    return inputs.random();
  }

  InstantSource clock() {
    return inputs.clock();
  }

  Instant now() {
    return inputs.clock().instant();
  }

  Member self() {
    return inputs.self().get();
  }

  /** Reports an attempt whose end the node beside the target can't report. */
  void observeLoss(Route route, Member target) {
    inputs
        .observer()
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

  /** Returns the bytes of an answer that may be under way; fewer while many calls are. */
  int answerWindow() {
    return calls.get() <= CALLS_WITH_WIDE_WINDOW ? WIDE_WINDOW_BYTES : NARROW_WINDOW_BYTES;
  }

  void callBegins() {
    calls.incrementAndGet();
  }

  void callEnds() {
    calls.decrementAndGet();
  }

  boolean isIdle() {
    return calls.get() == 0;
  }
}
