package org.cuminlatch.core.move;

/** Hears of each decision about a move. */
@FunctionalInterface
public interface MoveDecisionListener {

  /**
   * Takes a decision.
   *
   * @param decision the decision
   */
  void decided(MoveDecision decision);
}
