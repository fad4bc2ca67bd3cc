package org.cuminlatch.node.mesh;

import java.time.Duration;

/** How late an event loop comes to its work, measured by a task that it repeats. */
final class LoopLag {

  private final long periodNanos;
  private long dueNanos;
  private long lastNanos;

  LoopLag(Duration period) {
    this.periodNanos = period.toNanos();
    this.dueNanos = System.nanoTime() + periodNanos;
  }

  /** To be called by the repeated task. */
  void tick() {
    long now = System.nanoTime();
    lastNanos = Math.max(0, now - dueNanos);
    dueNanos = now + periodNanos;
  }

  /** Returns by how much the last task was late, or the next one is already. */
  Duration value() {
    return Duration.ofNanos(Math.max(lastNanos, System.nanoTime() - dueNanos));
  }
}
