package org.cuminlatch.core.spread;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Collection;

/**
 * Names the nodes of a region that read the operators' records; the others ask these for them.
 *
 * <p>A configuration can be as large as the link between two regions carries in a fraction of a
 * second, and follows another within less: read by each node it would hold up the calls that share
 * the link. The choice needs no agreement; while views differ a few more read.
 */
public final class RegionReaders {

  /** Readers of a region, so that the loss of one delays nothing. */
  static final int READERS = 2;

  private RegionReaders() {}

  /**
   * Returns whether a node reads for its region.
   *
   * @param own name of the node
   * @param others names of the other nodes of its region that could read
   * @return true if it is among the first by name
   */
  public static boolean reads(String own, Collection<String> others) {
    notNull(own, "own");
    notNull(others, "others");
    return others.stream().filter(other -> other.compareTo(own) < 0).count() < READERS;
  }
}
