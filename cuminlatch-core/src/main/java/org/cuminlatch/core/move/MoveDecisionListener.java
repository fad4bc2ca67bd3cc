package org.cuminlatch.core.move;

/** Receives each decision about a move. */
@FunctionalInterface
public interface MoveDecisionListener {

  /**
   * Called when a decision has been made.
   *
   * @param decision the decision
   */
  void onDecision(MoveDecision decision);
}
