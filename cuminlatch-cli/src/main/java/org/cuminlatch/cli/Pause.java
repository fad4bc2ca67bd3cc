package org.cuminlatch.cli;

import java.time.Duration;

/** Waits between the attempts of an operation. */
@FunctionalInterface
interface Pause {

  /**
   * Waits.
   *
   * @param length how long
   */
  void sleep(Duration length);
}
