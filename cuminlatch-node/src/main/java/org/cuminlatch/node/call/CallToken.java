package org.cuminlatch.node.call;

import java.util.Optional;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.core.retry.CallTreePosition;

/**
 * Value of the header {@link CallHeaders#ATTEMPT}: an attempt and its place in the call tree.
 *
 * @param attempt the attempt
 * @param tree place of its call
 */
record CallToken(AttemptId attempt, CallTreePosition tree) {

  private static final String SEPARATOR = "-";
  private static final String RETRIED = "r";
  private static final String FIRST = "f";
  private static final int PARTS = 3;

  String format() {
    return String.join(
        SEPARATOR,
        attempt.toString(),
        Integer.toString(tree.depth()),
        tree.retried() ? RETRIED : FIRST);
  }

  /** Parses a header's value; empty if it has another form. */
  static Optional<CallToken> parse(String value) {
    String[] parts = value.split(SEPARATOR, PARTS);
    if (parts.length != PARTS || !(parts[2].equals(RETRIED) || parts[2].equals(FIRST))) {
      return Optional.empty();
    }
    try {
      int depth = Integer.parseInt(parts[1]);
      CallTreePosition tree = new CallTreePosition(depth, parts[2].equals(RETRIED));
      return Optional.of(new CallToken(AttemptId.parse(parts[0]), tree));
    } catch (IllegalArgumentException malformed) {
      return Optional.empty();
    }
  }
}
