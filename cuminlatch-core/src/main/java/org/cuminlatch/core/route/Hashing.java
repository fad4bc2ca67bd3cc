package org.cuminlatch.core.route;

/** Hashes that are the same on every node: FNV-1a with the finalizer of MurmurHash3. */
final class Hashing {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long MIX_ONE = 0xff51afd7ed558ccdL;
  private static final long MIX_TWO = 0xc4ceb9fe1a85ec53L;
  private static final int MIX_SHIFT = 33;
  private static final int SEPARATOR = 0xff;

  private Hashing() {}

  /** Returns a well mixed hash of two texts. */
  static long mixed(String first, String second) {
    long hash = add(add(FNV_OFFSET, first), second);
    hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX_ONE;
    hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX_TWO;
    return hash ^ (hash >>> MIX_SHIFT);
  }

  private static long add(long seed, String text) {
    long hash = seed;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return (hash ^ SEPARATOR) * FNV_PRIME;
  }
}
