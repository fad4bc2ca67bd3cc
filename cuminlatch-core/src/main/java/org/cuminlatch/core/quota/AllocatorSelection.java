package org.cuminlatch.core.quota;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cuminlatch.core.hash.StableHash;
import org.cuminlatch.core.membership.Rendezvous;

/**
 * Chooses the allocator that a node votes for, for each group of accounts: the first in the ranking
 * of all known nodes that this node has an open connection to.
 *
 * <p>While nodes start together, the first that is connected changes several times; each change
 * costs one message to the allocator before.
 */
public final class AllocatorSelection {

  /** Number of nodes for which there is one group of accounts, as each costs a vote of all. */
  private static final int NODES_PER_GROUP = 100;

  private final String self;
  private List<List<String>> rankings = List.of();
  private Set<String> known = Set.of();

  /**
   * Creates a selection that knows only the own node.
   *
   * @param self address of the own node
   */
  public AllocatorSelection(String self) {
    this.self = notNull(self, "self");
    setKnown(List.of());
  }

  /**
   * Sets the known nodes.
   *
   * @param others addresses of all other nodes
   */
  public void setKnown(Collection<String> others) {
    Set<String> all = new HashSet<>(notNull(others, "others"));
    all.add(self);
    if (all.equals(known)) {
      return;
    }
    known = Set.copyOf(all);
    List<List<String>> newRankings = new ArrayList<>();
    for (int group = 0; group < groupsFor(known.size()); group++) {
      newRankings.add(rank(group));
    }
    rankings = List.copyOf(newRankings);
  }

  private List<String> rank(int group) {
    record Weighted(String node, long weight) {}

    String role = "quota-allocator-" + group;
    Comparator<Weighted> byWeight = (a, b) -> Long.compareUnsigned(b.weight(), a.weight());
    return known.stream()
        .map(node -> new Weighted(node, Rendezvous.weight(role, node)))
        .sorted(byWeight.thenComparing(Weighted::node))
        .map(Weighted::node)
        .toList();
  }

  /**
   * Returns the number of groups of accounts.
   *
   * @param knownNodes number of nodes of the mesh
   * @return the number of groups; at least 1
   */
  static int groupsFor(int knownNodes) {
    return Math.max(1, (knownNodes + NODES_PER_GROUP - 1) / NODES_PER_GROUP);
  }

  /** Returns the number of known nodes, this one included. */
  public int knownNodes() {
    return known.size();
  }

  /** Returns the number of groups of accounts. */
  public int groups() {
    return rankings.size();
  }

  /**
   * Returns the group of an account.
   *
   * @param account name of the account
   * @return number of the group, from 0
   */
  public int groupOf(String account) {
    return Math.floorMod(StableHash.of(account), groups());
  }

  /**
   * Chooses the allocator of a group.
   *
   * @param group number of the group
   * @param connected addresses of the nodes that this one has open connections to
   * @return address of the allocator, which may be the own one
   */
  public String choose(int group, Set<String> connected) {
    return rankings.get(group).stream()
        .filter(candidate -> candidate.equals(self) || connected.contains(candidate))
        .findFirst()
        .orElse(self);
  }
}
