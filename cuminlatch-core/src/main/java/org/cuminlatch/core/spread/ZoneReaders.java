package org.cuminlatch.core.spread;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Collection;

/**
 * Names the node of a zone that reads the operators' records; the others ask it for them.
 *
 * <p>A configuration can be as large as the link between two regions carries in a fraction of a
 * second, and follows another within less: read by each node it would hold up the calls that share
 * the link. The choice needs no agreement; while views differ a few more read. A zone whose reader
 * hears nothing is told by the readers of other zones.
 */
public final class ZoneReaders {

  private ZoneReaders() {}

  /**
   * Returns whether a node reads for its zone.
   *
   * @param own name of the node
   * @param others names of the other nodes of its zone that could read
   * @return true if it is the first by name
   */
  public static boolean reads(String own, Collection<String> others) {
    notNull(own, "own");
    notNull(others, "others");
    return others.stream().noneMatch(other -> other.compareTo(own) < 0);
  }
}
