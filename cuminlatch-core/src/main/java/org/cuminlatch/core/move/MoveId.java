package org.cuminlatch.core.move;

import static org.cuminlatch.core.Preconditions.notNull;

import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.hash.StableHash;

/**
 * Short identity of a move: a hash over its name, service, route and versions.
 *
 * <p>A changed deadline or plan leaves the identity as it is; another pair of versions changes it.
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
