package org.cuminlatch.core.spread;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Collection;

/**
 * Selects the node of a zone that reads the operators' records; the other nodes of the zone request
 * them from it.
 *
 * <p>A configuration can be as large as what the link between two regions transfers in a fraction
 * of a second, and the next one can follow even sooner. If every node read it, the calls that share
 * the link would be delayed. The selection needs no agreement between the nodes; while their views
 * differ, a few more nodes read. A zone whose reader receives nothing is informed by the readers of
 * other zones.
 */
public final class ZoneReaderSelection {

  private ZoneReaderSelection() {}

  /**
   * Returns whether a node is the reader of its zone.
   *
   * @param node name of the node
   * @param others names of the other nodes of its zone that can read
   * @return true if no other name sorts before that of the node
   */
  public static boolean isReader(String node, Collection<String> others) {
    notNull(node, "node");
    notNull(others, "others");
    return others.stream().noneMatch(other -> other.compareTo(node) < 0);
  }
}
