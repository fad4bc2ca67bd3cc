package org.cuminlatch.core.move;

import static org.cuminlatch.core.Preconditions.notNull;

import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.hash.StableHash;

/**
 * Identity of a move: a hash over its name, service, route and versions.
 *
 * <p>The identity does not depend on deadline and steps; it differs for another pair of versions.
 *
 * @param value 64-bit hash, see {@link StableHash}
 */
public record MoveId(long value) implements Comparable<MoveId> {

  private static final char SEPARATOR = '\n';

  /**
   * Returns the identity of a move.
   *
   * @param move the move
   * @return the identity, the same on every node
   */
  public static MoveId of(Move move) {
    notNull(move, "move");
    String text =
        String.join(
            String.valueOf(SEPARATOR),
            move.name(),
            move.service(),
            move.route().orElse(""),
            move.from(),
            move.to());
    return new MoveId(StableHash.of(text));
  }

  @Override
  public int compareTo(MoveId other) {
    return Long.compareUnsigned(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toHexString(value);
  }
}
