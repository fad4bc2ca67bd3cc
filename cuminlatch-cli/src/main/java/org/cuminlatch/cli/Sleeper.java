package org.cuminlatch.cli;

import java.time.Duration;

/** Blocks the calling thread between the attempts of an operation; tests use virtual time. */
@FunctionalInterface
interface Sleeper {

  /**
   * Blocks for a duration.
   *
   * @param duration how long to block
   */
  void sleep(Duration duration);
}
