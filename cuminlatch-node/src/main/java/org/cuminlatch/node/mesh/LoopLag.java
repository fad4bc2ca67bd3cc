package org.cuminlatch.node.mesh;

import java.time.Duration;

/** Measures the delay with which an event loop runs its tasks, by means of a periodic task. */
final class LoopLag {

  private final long periodNanos;
  private long nextRunNanos;
  private long lastDelayNanos;

  LoopLag(Duration period) {
    this.periodNanos = period.toNanos();
    this.nextRunNanos = System.nanoTime() + periodNanos;
  }

  /** Records a run of the periodic task, which must call this on each run. */
  void tick() {
    long now = System.nanoTime();
    lastDelayNanos = Math.max(0, now - nextRunNanos);
    nextRunNanos = now + periodNanos;
  }

  /** Returns the delay of the last run, or that of the overdue next run if it is longer. */
  Duration value() {
    return Duration.ofNanos(Math.max(lastDelayNanos, System.nanoTime() - nextRunNanos));
  }
}
