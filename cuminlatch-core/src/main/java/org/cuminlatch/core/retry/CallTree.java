package org.cuminlatch.core.retry;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNegative;

/**
 * Place of a call in its call tree.
 *
 * @param depth number of calls above it
 * @param retried whether an attempt above it repeats an earlier one
 */
public record CallTree(int depth, boolean retried) {

  /** Most calls above a call; deeper ones are taken for a loop. */
  public static final int MAX_DEPTH = 16;

  private static final CallTree ROOT = new CallTree(0, false);

  /** Checks the fields. */
  public CallTree {
    notNegative(depth, "depth");
    check(depth <= MAX_DEPTH, "depth", "must be at most " + MAX_DEPTH);
  }

  /**
   * Returns the place of a call that no call is above of.
   *
   * @return the root
   */
  public static CallTree root() {
    return ROOT;
  }
}
