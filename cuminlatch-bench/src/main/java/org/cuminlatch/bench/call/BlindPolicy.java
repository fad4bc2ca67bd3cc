package org.cuminlatch.bench.call;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;

/** Baseline without admission control: random targets and up to three blind retries. */
final class BlindPolicy implements CallPolicy {

  private static final int RETRIES = 3;
  private static final Duration ONE_WAY = Duration.ofMillis(1);

  private final VirtualTime time;
  private final Random random;
  private final SimulatedFleet fleet;
  private final List<SimulatedTarget> targets;
  private final SimulationTally tally;

  BlindPolicy(
      VirtualTime time,
      Random random,
      SimulatedFleet fleet,
      List<SimulatedTarget> targets,
      SimulationTally tally) {
    this.time = time;
    this.random = random;
    this.fleet = fleet;
    this.targets = targets;
    this.tally = tally;
  }

  @Override
  public void call() {
    attempt(time.now(), 0);
  }

  private void attempt(Instant begun, int retries) {
    AtomicBoolean open = new AtomicBoolean(true);
    SimulatedTarget target = targets.get(random.nextInt(targets.size()));
    Runnable answered =
        () -> {
          if (open.getAndSet(false)) {
            tally.answered(begun, time.now());
          }
        };
    time.after(ONE_WAY, () -> target.runInTurn(begun, () -> time.after(ONE_WAY, answered)));
    time.after(
        fleet.deadline(),
        () -> {
          if (open.getAndSet(false)) {
            timedOut(begun, retries);
          }
        });
  }

  private void timedOut(Instant begun, int retries) {
    if (retries < RETRIES) {
      attempt(begun, retries + 1);
    } else {
      tally.unknown(begun);
    }
  }
}
