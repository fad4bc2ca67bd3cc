package org.cuminlatch.node.mesh;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Supplier;
import org.cuminlatch.core.account.ClockReading;
import org.cuminlatch.core.account.ElapsedTime;

/** Time since the start of the process by {@link ElapsedTime}, for all threads. */
final class ElapsedClock implements Supplier<Duration> {

  private final ElapsedTime elapsed = new ElapsedTime(reading());

  @Override
  public synchronized Duration get() {
    return elapsed.advance(reading());
  }

  private static ClockReading reading() {
    return new ClockReading(System.nanoTime(), Instant.now());
  }
}
