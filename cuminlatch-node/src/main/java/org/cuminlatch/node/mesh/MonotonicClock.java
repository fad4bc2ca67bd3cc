package org.cuminlatch.node.mesh;

import java.time.Instant;
import java.time.InstantSource;

/** Clock that starts at the system time and then ignores adjustments of the system clock. */
public final class MonotonicClock implements InstantSource {

  private final Instant start = Instant.now();
  private final long startNanos = System.nanoTime();

  @Override
  public Instant instant() {
    return start.plusNanos(System.nanoTime() - startNanos);
  }
}
