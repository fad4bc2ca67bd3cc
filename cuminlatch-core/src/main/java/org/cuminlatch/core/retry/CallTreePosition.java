package org.cuminlatch.core.retry;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNegative;

/**
 * Position of a call in its call tree.
 *
 * @param depth number of ancestors of the call
 * @param retried whether the call descends from an attempt that repeats an earlier one
 */
public record CallTreePosition(int depth, boolean retried) {

  /** Maximum depth; a deeper call is assumed to be part of a loop. */
  public static final int MAX_DEPTH = 16;

  private static final CallTreePosition ROOT = new CallTreePosition(0, false);

  /** Validates the components. */
  public CallTreePosition {
    notNegative(depth, "depth");
    check(depth <= MAX_DEPTH, "depth", "must be at most " + MAX_DEPTH);
  }

  /**
   * Returns the position of a call that has no ancestors.
   *
   * @return the root of a call tree
   */
  public static CallTreePosition root() {
    return ROOT;
  }
}
