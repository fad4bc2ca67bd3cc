package org.cuminlatch.core.move;

/** Takes the outcomes of calls as they end; safe for use by many threads. */
@FunctionalInterface
public interface CallObserver {

  /**
   * Takes the outcome of one attempt at a target.
   *
   * @param outcome the outcome
   */
  void observed(CallOutcome outcome);
}
