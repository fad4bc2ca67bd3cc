package org.cuminlatch.core.move;

import org.cuminlatch.core.config.MoveOutcome;

/** Takes the outcomes that are to be appended to the platform's log; repeats are harmless. */
@FunctionalInterface
public interface OutcomeSink {

  /**
   * Asks for an outcome to be appended.
   *
   * <p>The engine asks again from time to time until the outcome shows in the snapshot.
   *
   * @param outcome the outcome
   */
  void append(MoveOutcome outcome);
}
