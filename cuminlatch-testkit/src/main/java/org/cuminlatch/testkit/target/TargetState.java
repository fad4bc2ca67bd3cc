package org.cuminlatch.testkit.target;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicInteger;

/** What all connections of a target share. */
final class TargetState {

  private final TargetOptions options;
  private final InstantSource clock;
  private final Instant warmAt;
  private final ExecutionCounter counter = new ExecutionCounter();
  private final AtomicInteger busy = new AtomicInteger();
  private volatile Behaviour behaviour = Behaviour.good();
  private volatile Instant drainedAt;
  private Hint hint;
  private Instant hintAt = Instant.MIN;

  TargetState(TargetOptions options, InstantSource clock) {
    this.options = options;
    this.clock = clock;
    this.warmAt = clock.instant().plus(options.coldStart());
  }

  TargetOptions options() {
    return options;
  }

  ExecutionCounter counter() {
    return counter;
  }

  Behaviour behaviour() {
    return behaviour;
  }

  void behave(Behaviour newBehaviour) {
    behaviour = newBehaviour;
  }

  boolean draining() {
    return drainedAt != null;
  }

  synchronized void drain() {
    if (drainedAt == null) {
      drainedAt = clock.instant();
    }
  }

  /** Notes a request that came in, and how long after the drain. */
  void arrived() {
    if (draining()) {
      counter.arrivedAfterDrain(Duration.between(drainedAt, clock.instant()));
    }
  }

  boolean takeSlot() {
    return busy.getAndUpdate(taken -> Math.min(options.slots(), taken + 1)) < options.slots();
  }

  void freeSlot() {
    busy.decrementAndGet();
  }

  /** Time that a request takes if it begins now. */
  Duration runTime() {
    Duration cold = Duration.between(clock.instant(), warmAt);
    Duration run = options.serviceTime().plus(behaviour.slow());
    return cold.isNegative() ? run : run.plus(cold);
  }

  /** What the health and load endpoints claim, which may be old or untrue. */
  synchronized Hint hint() {
    Instant now = clock.instant();
    if (hint == null || !hintAt.plus(behaviour.hintLag()).isAfter(now)) {
      hint = new Hint(phase(now), busy.get());
      hintAt = now;
    }
    return new Hint(
        behaviour.claimedState().orElse(hint.state()),
        behaviour.claimedBusy().map(Long::intValue).orElse(hint.busy()));
  }

  private String phase(Instant now) {
    if (draining()) {
      return "draining";
    }
    return now.isBefore(warmAt) ? "starting" : "serving";
  }

  record Hint(String state, int busy) {}
}
