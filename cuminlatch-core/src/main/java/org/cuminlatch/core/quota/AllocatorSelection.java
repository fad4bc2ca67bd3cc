package org.cuminlatch.core.quota;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
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
 * <p>The ranking is by address, which is known before a node is connected. A node that has just
 * started allocates for itself until the first in the ranking is connected, or until its start is
 * so long ago that this node can't be expected any more.
 */
public final class AllocatorSelection {

  /** Number of nodes for which there is one group of accounts, as each costs a vote of all. */
  private static final int NODES_PER_GROUP = 100;

  /** Time after the start in which the slowest nodes that start with this one get ready. */
  private static final Duration START_PERIOD = Duration.ofSeconds(3);

  private final String self;
  private List<List<String>> rankings = List.of();
  private Set<String> known = Set.of();

  /** Nodes that have been connected to this one. */
  private final Set<String> seen = new HashSet<>();

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
    seen.retainAll(known);
    List<List<String>> newRankings = new ArrayList<>();
    for (int group = 0; group < groupsFor(known.size()); group++) {
      newRankings.add(rank(group));
    }
    rankings = List.copyOf(newRankings);
  }

  private List<String> rank(int group) {
    String role = "quota-allocator-" + group;
    Comparator<String> byWeight =
        (a, b) -> Long.compareUnsigned(Rendezvous.weight(role, b), Rendezvous.weight(role, a));
    return known.stream().sorted(byWeight.thenComparing(Comparator.naturalOrder())).toList();
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
   * @param age time since the start of the process
   * @return address of the allocator, which may be the own one
   */
  public String choose(int group, Set<String> connected, Duration age) {
    for (String candidate : rankings.get(group)) {
      if (candidate.equals(self) || connected.contains(candidate)) {
        seen.add(candidate);
        return candidate;
      }
      boolean maySoonConnect = age.compareTo(START_PERIOD) < 0 && !seen.contains(candidate);
      if (maySoonConnect) {
        return self;
      }
    }
    return self;
  }
}
