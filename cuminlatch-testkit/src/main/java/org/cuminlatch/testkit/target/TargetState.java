package org.cuminlatch.testkit.target;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicInteger;

/** State that all connections of a target share. */
final class TargetState {

  private final TargetOptions options;
  private final InstantSource clock;
  private final Instant coldStartEnd;
  private final ExecutionCounter counter = new ExecutionCounter();
  private final AtomicInteger busySlots = new AtomicInteger();
  private volatile Behaviour behaviour = Behaviour.faultless();
  private volatile Instant drainStart;
  private Hint hint;
  private Instant hintTakenAt = Instant.MIN;

  TargetState(TargetOptions options, InstantSource clock) {
    this.options = options;
    this.clock = clock;
    this.coldStartEnd = clock.instant().plus(options.coldStart());
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

  void setBehaviour(Behaviour newBehaviour) {
    behaviour = newBehaviour;
  }

  boolean draining() {
    return drainStart != null;
  }

  synchronized void drain() {
    if (drainStart == null) {
      drainStart = clock.instant();
    }
  }

  /** Counts the arrival of a request, with the time since the start of the drain if draining. */
  void countArrival() {
    if (draining()) {
      counter.countArrivalAfterDrain(Duration.between(drainStart, clock.instant()));
    }
  }

  boolean tryAcquireSlot() {
    return busySlots.getAndUpdate(inUse -> Math.min(options.slots(), inUse + 1)) < options.slots();
  }

  void releaseSlot() {
    busySlots.decrementAndGet();
  }

  /**
   * Returns the execution time of a request that starts now, including the rest of the cold start.
   */
  Duration executionTime() {
    Duration remainingColdStart = Duration.between(clock.instant(), coldStartEnd);
    Duration executionTime = options.serviceTime().plus(behaviour.slowdown());
    return remainingColdStart.isNegative() ? executionTime : executionTime.plus(remainingColdStart);
  }

  /** Returns the data of the health and load endpoints, which may be outdated or false. */
  synchronized Hint hint() {
    Instant now = clock.instant();
    if (hint == null || !hintTakenAt.plus(behaviour.hintLag()).isAfter(now)) {
      hint = new Hint(phase(now), busySlots.get());
      hintTakenAt = now;
    }
    return new Hint(
        behaviour.claimedState().orElse(hint.state()),
        behaviour.claimedBusy().map(Long::intValue).orElse(hint.busy()));
  }

  private String phase(Instant now) {
    if (draining()) {
      return "draining";
    }
    return now.isBefore(coldStartEnd) ? "starting" : "serving";
  }

  /** Data that the health and load endpoints report. */
  record Hint(String state, int busy) {}
}
