package org.cuminlatch.core.move;

import org.cuminlatch.core.config.MoveOutcome;

/** Appends the outcomes of moves to the platform's log. Repeated outcomes are harmless. */
@FunctionalInterface
public interface OutcomeSink {

  /**
   * Requests that an outcome be appended.
   *
   * <p>The engine repeats the request periodically until the outcome is part of the snapshot.
   *
   * @param outcome the outcome
   */
  void append(MoveOutcome outcome);
}
