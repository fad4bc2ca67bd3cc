package org.cuminlatch.core.account;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cuminlatch.core.account.InquirySchedule.Role;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Locality.Distance;

/**
 * Selects the nodes to ask for a proof. The first node of a zone by name that can read the store is
 * its reader (see {@link org.cuminlatch.core.spread.ZoneReaderSelection}), so it has the latest
 * proof.
 */
public final class InquiryPeers {

  /** Nodes of the own zone that are asked if the first one does not help. */
  private static final int ZONE_PEERS = 3;

  private InquiryPeers() {}

  /**
   * A node that can be asked.
   *
   * @param node name of the node
   * @param locality where it runs
   * @param canRead whether it can read the store and goes on running
   */
  public record Peer(String node, Locality locality, boolean canRead) {

    /** Checks the fields. */
    public Peer {
      notBlank(node, "node");
      notNull(locality, "locality");
    }

    private static final Comparator<Peer> READERS_FIRST =
        Comparator.comparing((Peer peer) -> !peer.canRead()).thenComparing(Peer::node);
  }

  /**
   * Returns what a node does for its zone.
   *
   * @param self the node itself
   * @param peers the nodes that it can ask
   * @return its role
   */
  public static Role role(Peer self, Collection<Peer> peers) {
    long preceding =
        peers.stream()
            .filter(peer -> isInZone(peer, self.locality()) && peer.canRead())
            .filter(peer -> peer.node().compareTo(self.node()) < 0)
            .count();
    if (preceding == 0) {
      return Role.READER;
    }
    return preceding < ZONE_PEERS ? Role.SUBSTITUTE : Role.OTHER;
  }

  /**
   * Returns the nodes to ask.
   *
   * @param inquiry the inquiry
   * @param own where the asking node runs
   * @param peers the nodes that it can ask
   * @return names of nodes; empty if there are none, or if the store is to be asked
   */
  public static List<String> toAsk(Inquiry inquiry, Locality own, Collection<Peer> peers) {
    return switch (inquiry.source()) {
      case ZONE -> inZone(inquiry.attempt(), own, peers);
      case OTHER_ZONE -> inOtherZone(inquiry.attempt(), own, peers);
      case STORE -> List.of();
    };
  }

  private static List<String> inZone(int attempt, Locality own, Collection<Peer> peers) {
    return peers.stream()
        .filter(peer -> isInZone(peer, own))
        .sorted(Peer.READERS_FIRST)
        .limit(attempt == 0 ? 1 : ZONE_PEERS)
        .map(Peer::node)
        .toList();
  }

  /** Returns the reader of another zone; each attempt asks the next zone, near ones first. */
  private static List<String> inOtherZone(int attempt, Locality own, Collection<Peer> peers) {
    Map<Locality, Peer> readers = new LinkedHashMap<>();
    peers.stream()
        .filter(peer -> !isInZone(peer, own))
        .sorted(Peer.READERS_FIRST)
        .forEach(peer -> readers.putIfAbsent(peer.locality(), peer));
    List<Peer> ordered = new ArrayList<>(readers.values());
    ordered.sort(
        Comparator.comparing((Peer peer) -> own.distanceTo(peer.locality()))
            .thenComparing(peer -> peer.locality().region())
            .thenComparing(peer -> peer.locality().zone()));
    return ordered.isEmpty() ? List.of() : List.of(ordered.get(attempt % ordered.size()).node());
  }

  private static boolean isInZone(Peer peer, Locality locality) {
    return locality.distanceTo(peer.locality()) == Distance.SAME_ZONE;
  }
}
