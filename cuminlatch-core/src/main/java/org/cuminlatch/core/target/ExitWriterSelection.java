package org.cuminlatch.core.target;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Collection;
import org.cuminlatch.core.membership.Rendezvous;

/**
 * Selects the nodes that write the exit of a target to the store for a node that the store turns
 * away.
 *
 * <p>The selection needs no agreement between the nodes; while their views differ, a few more nodes
 * write the same record.
 */
public final class ExitWriterSelection {

  /** Number of writers, as the store may turn some of them away, too. */
  private static final int WRITERS = 3;

  private ExitWriterSelection() {}

  /**
   * Returns whether a node is one of the writers.
   *
   * @param exit the exit
   * @param node name of the node
   * @param others names of the other nodes that can write
   * @return true if few of the others precede the node
   */
  public static boolean isWriter(TargetExit exit, String node, Collection<String> others) {
    notNull(others, "others");
    String role = "exit-writer/" + notNull(exit, "exit").instance();
    long own = Rendezvous.weight(role, notNull(node, "node"));
    return others.stream()
            .filter(other -> Long.compareUnsigned(Rendezvous.weight(role, other), own) > 0)
            .count()
        < WRITERS;
  }
}
