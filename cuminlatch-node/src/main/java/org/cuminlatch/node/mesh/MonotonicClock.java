package org.cuminlatch.node.mesh;

import java.time.Instant;
import java.time.InstantSource;

/** Time that starts at the time of day and then never jumps, whatever the time of day does. */
final class MonotonicClock implements InstantSource {

  private final Instant start = Instant.now();
  private final long startNanos = System.nanoTime();

  @Override
  public Instant instant() {
    return start.plusNanos(System.nanoTime() - startNanos);
  }
}
