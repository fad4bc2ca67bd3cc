package org.cuminlatch.bench.process;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Callable;

/** Repeats an observation, never an assertion, until it is made or a bound is reached. */
public final class Eventually {

  private static final long PAUSE_MILLIS = 100;

  private Eventually() {}

  /**
   * Waits until a condition is seen.
   *
   * @param what what is waited for
   * @param bound longest wait
   * @param condition looks once
   * @return how long it took
   * @throws Exception if a look fails
   */
  public static Duration seen(String what, Duration bound, Callable<Boolean> condition)
      throws Exception {
    Instant start = Instant.now();
    while (!condition.call()) {
      if (Duration.between(start, Instant.now()).compareTo(bound) > 0) {
        throw new AssertionError("not seen within " + bound + ": " + what);
      }
      Thread.sleep(PAUSE_MILLIS);
    }
    return Duration.between(start, Instant.now());
  }
}
