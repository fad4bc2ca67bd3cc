package org.cuminlatch.core.move;

/**
 * 64-bit FNV-1a hash with a final avalanche, so that close inputs rank independently.
 *
 * <p>Source: Fowler, Noll, Vo, "The FNV Non-Cryptographic Hash Algorithm" (RFC 9923); finalizer of
 * MurmurHash3 by Austin Appleby.
 */
final class Fnv {

  private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long PRIME = 0x100000001b3L;
  private static final long MIX_1 = 0xff51afd7ed558ccdL;
  private static final long MIX_2 = 0xc4ceb9fe1a85ec53L;
  private static final int MIX_SHIFT = 33;

  private Fnv() {}

  static long hash(String text) {
    long hash = OFFSET_BASIS;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * PRIME;
    }
    hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX_1;
    hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX_2;
    return hash ^ (hash >>> MIX_SHIFT);
  }
}
