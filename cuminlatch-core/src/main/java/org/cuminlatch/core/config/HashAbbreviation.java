package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notNull;

/**
 * Abbreviates state hashes for messages between nodes; the abbreviation suffices to detect that two
 * states differ.
 */
public final class HashAbbreviation {

  private static final int ABBREVIATED_CHARS = 8;

  private HashAbbreviation() {}

  /**
   * Abbreviates a state hash.
   *
   * @param stateHash the hash, which may be abbreviated already
   * @return its first characters
   */
  public static String of(String stateHash) {
    notNull(stateHash, "stateHash");
    return stateHash.length() <= ABBREVIATED_CHARS
        ? stateHash
        : stateHash.substring(0, ABBREVIATED_CHARS);
  }
}
