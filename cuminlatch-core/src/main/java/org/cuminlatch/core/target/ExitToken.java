package org.cuminlatch.core.target;

import static org.cuminlatch.core.Preconditions.notNull;

import org.cuminlatch.core.hash.StableHash;

/**
 * Tokens by which nodes tell each other what they know of a target's exit.
 *
 * <p>A token names one start of a target. It is a hash, so that it fits into a field of 64 bits,
 * and never 0.
 */
public final class ExitToken {

  private ExitToken() {}

  /**
   * Returns the token of a node that remembers an exit.
   *
   * @param exit the exit
   * @return the token
   */
  public static long known(TargetExit exit) {
    return token("exit-known", exit);
  }

  /**
   * Returns the token of a node that has written an exit to the store.
   *
   * @param exit the exit
   * @return the token
   */
  public static long stored(TargetExit exit) {
    return token("exit-stored", exit);
  }

  private static long token(String kind, TargetExit exit) {
    notNull(exit, "exit");
    long hash = StableHash.of(kind, exit.bornMillis() + "/" + exit.instance());
    return hash == 0 ? 1 : hash;
  }
}
