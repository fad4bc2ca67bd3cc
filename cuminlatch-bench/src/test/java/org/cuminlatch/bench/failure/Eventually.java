package org.cuminlatch.bench.failure;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Callable;

/** Repeats an observation, never an assertion, until it is made or a bound is reached. */
final class Eventually {

  private static final long PAUSE_MILLIS = 100;

  private Eventually() {}

  /** Returns how long it took until the condition was seen. */
  static Duration seen(String what, Duration bound, Callable<Boolean> condition) throws Exception {
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
