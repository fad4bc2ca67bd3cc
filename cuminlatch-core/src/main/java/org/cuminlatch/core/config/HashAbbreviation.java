package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notNull;

/** First characters of a state hash, as they go between nodes: enough to see that two differ. */
public final class HashAbbreviation {

  private static final int LENGTH = 8;

  private HashAbbreviation() {}

  /**
   * Abbreviates a state hash.
   *
   * @param stateHash the hash, possibly abbreviated already
   * @return its first characters
   */
  public static String of(String stateHash) {
    notNull(stateHash, "stateHash");
    return stateHash.length() <= LENGTH ? stateHash : stateHash.substring(0, LENGTH);
  }
}
