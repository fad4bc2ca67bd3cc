package org.cuminlatch.cli;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Kinds of pauses. */
final class Pauses {

  private static final Duration FIRST = Duration.ofMillis(200);
  private static final Duration LONGEST = Duration.ofSeconds(5);

  private Pauses() {}

  /**
   * Returns pauses that grow with the attempt and are drawn between nothing and their bound, so
   * that a crowd of tools does not return at one moment.
   *
   * @return the pauses
   */
  static Pause jittered() {
    return attempt -> {
      if (attempt > 0) {
        long bound = Math.min(LONGEST.toMillis(), FIRST.toMillis() << Math.min(attempt - 1, 16));
        sleep(ThreadLocalRandom.current().nextLong(bound + 1));
      }
    };
  }

  /**
   * Sleeps.
   *
   * @param millis how long, in milliseconds
   */
  static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
