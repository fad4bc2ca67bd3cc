package org.cuminlatch.node.call;

import java.util.Optional;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.core.retry.CallTreePosition;

/**
 * Value of the header {@link CallHeaders#ATTEMPT}: identifies an attempt and its place in the call
 * tree.
 *
 * @param attempt the attempt
 * @param treePosition place of the attempt's call in the call tree
 */
record AttemptToken(AttemptId attempt, CallTreePosition treePosition) {

  private static final String SEPARATOR = "-";
  private static final String RETRIED = "r";
  private static final String NOT_RETRIED = "f";
  private static final int PART_COUNT = 3;

  String format() {
    return String.join(
        SEPARATOR,
        attempt.toString(),
        Integer.toString(treePosition.depth()),
        treePosition.retried() ? RETRIED : NOT_RETRIED);
  }

  /** Parses a header's value; empty if it is malformed. */
  static Optional<AttemptToken> parse(String value) {
    String[] parts = value.split(SEPARATOR, PART_COUNT);
    if (parts.length != PART_COUNT || !(parts[2].equals(RETRIED) || parts[2].equals(NOT_RETRIED))) {
      return Optional.empty();
    }
    try {
      int depth = Integer.parseInt(parts[1]);
      CallTreePosition treePosition = new CallTreePosition(depth, parts[2].equals(RETRIED));
      return Optional.of(new AttemptToken(AttemptId.parse(parts[0]), treePosition));
    } catch (IllegalArgumentException malformed) {
      return Optional.empty();
    }
  }
}
