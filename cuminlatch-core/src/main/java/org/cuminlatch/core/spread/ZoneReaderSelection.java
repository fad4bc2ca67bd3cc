package org.cuminlatch.core.spread;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Selects the node of a zone that reads the operators' records; the other nodes of the zone request
 * them from it.
 *
 * <p>A configuration can be as large as what the link between two regions transfers in a fraction
 * of a second, and the next one can follow even sooner. If every node read it, the calls that share
 * the link would be delayed. The selection needs no agreement between the nodes; while their views
 * differ, a few more nodes read. While the reader is silent, so that it may have ended, the next
 * nodes read as well.
 */
public final class ZoneReaderSelection {

  /** Number of nodes that read in place of a silent reader, as some may have ended with it. */
  private static final int SUBSTITUTES = 3;

  private ZoneReaderSelection() {}

  /**
   * Returns whether a node reads for its zone.
   *
   * @param node name of the node
   * @param others names of the other nodes of its zone that can read
   * @param silent names of the nodes whose connections are silent
   * @return true if no other name sorts before that of the node, or if the first one is silent and
   *     few others precede the node
   */
  public static boolean isReader(String node, Collection<String> others, Set<String> silent) {
    notNull(node, "node");
    notNull(silent, "silent");
    List<String> preceding =
        notNull(others, "others").stream()
            .filter(other -> other.compareTo(node) < 0)
            .sorted()
            .toList();
    return preceding.isEmpty()
        || silent.contains(preceding.get(0))
            && preceding.stream().filter(other -> !silent.contains(other)).count() < SUBSTITUTES;
  }

  /**
   * Returns the nodes whose connections a node observes closely, as it depends on their reads.
   *
   * @param others names of the other nodes of its zone that can read
   * @return the first ones by name
   */
  public static Set<String> observedNodes(Collection<String> others) {
    return notNull(others, "others").stream()
        .sorted()
        .limit(SUBSTITUTES)
        .collect(Collectors.toUnmodifiableSet());
  }
}
