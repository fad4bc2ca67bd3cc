package org.cuminlatch.core.move;

/** Receives the outcome of each attempt as it ends. Implementations must be thread-safe. */
@FunctionalInterface
public interface CallObserver {

  /**
   * Called when an attempt at a target has ended.
   *
   * @param outcome the outcome
   */
  void observed(CallOutcome outcome);
}
