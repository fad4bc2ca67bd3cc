package org.cuminlatch.bench.call;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;

/** Baseline without admission control: random targets and up to three retries after a timeout. */
final class RandomRetryPolicy implements CallPolicy {

  private static final int MAX_RETRIES = 3;
  private static final Duration ONE_WAY_LATENCY = Duration.ofMillis(1);

  private final VirtualTime time;
  private final Random random;
  private final SimulatedFleet fleet;
  private final List<SimulatedTarget> targets;
  private final SimulationCounters counters;

  RandomRetryPolicy(
      VirtualTime time,
      Random random,
      SimulatedFleet fleet,
      List<SimulatedTarget> targets,
      SimulationCounters counters) {
    this.time = time;
    this.random = random;
    this.fleet = fleet;
    this.targets = targets;
    this.counters = counters;
  }

  @Override
  public void call() {
    attempt(time.now(), 0);
  }

  private void attempt(Instant startedAt, int retries) {
    AtomicBoolean open = new AtomicBoolean(true);
    SimulatedTarget target = targets.get(random.nextInt(targets.size()));
    Runnable onAnswer =
        () -> {
          if (open.getAndSet(false)) {
            counters.recordAnswered(startedAt, time.now());
          }
        };
    time.after(
        ONE_WAY_LATENCY,
        () -> target.runUnbounded(startedAt, () -> time.after(ONE_WAY_LATENCY, onAnswer)));
    time.after(
        fleet.deadline(),
        () -> {
          if (open.getAndSet(false)) {
            onTimeout(startedAt, retries);
          }
        });
  }

  private void onTimeout(Instant startedAt, int retries) {
    if (retries < MAX_RETRIES) {
      attempt(startedAt, retries + 1);
    } else {
      counters.recordUnknown(startedAt);
    }
  }
}
