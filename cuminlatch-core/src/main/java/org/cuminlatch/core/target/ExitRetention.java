package org.cuminlatch.core.target;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.HashSet;
import java.util.Set;

/**
 * Tells whether the exit of a target outlasts the process of its node.
 *
 * <p>It does once the store holds it, whoever wrote it, and while other nodes remember it: they
 * send nothing to that start of the target and tell its node after a restart. Not thread-safe.
 */
public final class ExitRetention {

  /** Nodes that must remember an exit, as one of them may end together with the target's node. */
  private static final int REQUIRED_NODES = 2;

  private final TargetExit exit;
  private final Set<String> nodes = new HashSet<>();
  private boolean stored;

  /**
   * Creates the retention of an exit that only this process knows.
   *
   * @param exit the exit
   */
  public ExitRetention(TargetExit exit) {
    this.exit = notNull(exit, "exit");
  }

  /**
   * Returns the exit.
   *
   * @return the exit
   */
  public TargetExit exit() {
    return exit;
  }

  /** Records that the store holds the exit. */
  public void recordStored() {
    stored = true;
  }

  /**
   * Records what another node knows of an exit.
   *
   * @param token token that the node has sent; one of another exit has no effect
   * @param node name or address of the node
   */
  public void record(long token, String node) {
    notBlank(node, "node");
    if (token == ExitToken.stored(exit)) {
      stored = true;
    } else if (token == ExitToken.known(exit)) {
      nodes.add(node);
    }
  }

  /**
   * Returns whether the store holds the exit.
   *
   * @return true if it does
   */
  public boolean isStored() {
    return stored;
  }

  /**
   * Returns whether the exit outlasts the process as far as that is possible now.
   *
   * @param connectedNodes number of nodes that could remember the exit; without any, nothing but
   *     the store could, so that there is nothing to wait for
   * @return true if the store holds it, or enough nodes remember it
   */
  public boolean isRetained(int connectedNodes) {
    notNegative(connectedNodes, "connectedNodes");
    return stored || nodes.size() >= Math.min(REQUIRED_NODES, connectedNodes);
  }
}
