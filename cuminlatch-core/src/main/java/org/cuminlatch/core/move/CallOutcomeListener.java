package org.cuminlatch.core.move;

/** Receives the outcome of each attempt as it ends. Implementations must be thread-safe. */
@FunctionalInterface
public interface CallOutcomeListener {

  /**
   * Called when an attempt at a target has ended.
   *
   * @param outcome the outcome
   */
  void onCallOutcome(CallOutcome outcome);
}
