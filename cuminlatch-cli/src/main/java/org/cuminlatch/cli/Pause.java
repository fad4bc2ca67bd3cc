package org.cuminlatch.cli;

/** Waits between the attempts of an operation. */
@FunctionalInterface
interface Pause {

  /**
   * Waits before an attempt.
   *
   * @param attempt number of the attempt, the first is 0 and needs no wait
   */
  void before(int attempt);
}
