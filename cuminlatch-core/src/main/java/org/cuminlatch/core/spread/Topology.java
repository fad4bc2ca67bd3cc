package org.cuminlatch.core.spread;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.membership.Member.Phase;
import org.cuminlatch.core.membership.Member.Status;
import org.cuminlatch.core.membership.MembershipView;
import org.cuminlatch.core.membership.Rendezvous;

/**
 * Distribution topology: the readers of the log and the trees along which records are pushed, both
 * derived only from the known members.
 *
 * <p>The head of a zone is its highest ranked member by rendezvous hashing, where live and serving
 * members come first. The highest ranked head of a region is its reader, the other heads are its
 * stand-bys. The members of each zone form a tree below their head.
 */
final class Topology {

  private static final String HEAD_ROLE = "head";
  private static final String READER_ROLE = "reader";

  private static final Duration MIN_REFRESH_INTERVAL = Duration.ofMillis(300);

  private final MembershipView view;
  private final Member self;
  private final int fanOut;
  private Collection<Member> lastMembers;
  private final Map<String, Long> weights = new HashMap<>();
  private final Map<String, Integer> memberCounts = new HashMap<>();
  private List<Member> ownZone = List.of();
  private Instant refreshedAt;
  private List<Member> heads = List.of();
  private List<Member> otherReaders = List.of();
  private int treePosition;

  Topology(MembershipView view, Member self, int fanOut) {
    this.view = view;
    this.self = self;
    this.fanOut = fanOut;
  }

  /** Recomputes the topology if the members have changed, at most once per interval. */
  void refresh(Instant now) {
    Collection<Member> members = view.members();
    if (members == lastMembers
        || lastMembers != null && refreshedAt.plus(MIN_REFRESH_INTERVAL).isAfter(now)) {
      return;
    }
    lastMembers = members;
    refreshedAt = now;
    Map<Locality, List<Member>> byZone = new HashMap<>();
    for (Member member : members) {
      byZone.computeIfAbsent(member.locality(), unused -> new ArrayList<>()).add(member);
    }
    memberCounts.clear();
    byZone.forEach(
        (zone, zoneMembers) -> memberCounts.merge(zone.region(), zoneMembers.size(), Integer::sum));
    ownZone = byZone.getOrDefault(self.locality(), new ArrayList<>());
    ownZone.sort(treeOrder());
    treePosition = findTreePosition();
    Map<String, List<Member>> byRegion = new TreeMap<>();
    byZone.forEach(
        (zone, zoneMembers) ->
            byRegion
                .computeIfAbsent(zone.region(), unused -> new ArrayList<>())
                .add(Collections.min(zoneMembers, treeOrder())));
    byRegion.replaceAll((region, regionHeads) -> Rendezvous.rank(READER_ROLE, regionHeads));
    heads = byRegion.getOrDefault(self.locality().region(), List.of());
    byRegion.remove(self.locality().region());
    otherReaders = byRegion.values().stream().map(regionHeads -> regionHeads.get(0)).toList();
    Set<String> names = new HashSet<>();
    members.forEach(member -> names.add(member.instance()));
    weights.keySet().retainAll(names);
  }

  private Comparator<Member> treeOrder() {
    Comparator<Member> byWeight =
        (a, b) -> Long.compareUnsigned(weight(b.instance()), weight(a.instance()));
    return Comparator.comparingInt(Topology::availabilityRank)
        .thenComparing(byWeight)
        .thenComparing(Member::instance);
  }

  /** Ranks live serving members first and members that are not alive last. */
  private static int availabilityRank(Member member) {
    if (member.status() != Status.ALIVE) {
      return 2;
    }
    return member.phase() == Phase.SERVING ? 0 : 1;
  }

  private long weight(String instance) {
    return weights.computeIfAbsent(instance, name -> Rendezvous.weight(HEAD_ROLE, name));
  }

  private int findTreePosition() {
    List<Member> treeOrder = ownZone;
    for (int i = 0; i < treeOrder.size(); i++) {
      if (isSelf(treeOrder.get(i))) {
        return i;
      }
    }
    return treeOrder.size();
  }

  private boolean isSelf(Member member) {
    return member.instance().equals(self.instance());
  }

  boolean isHead() {
    return treePosition == 0;
  }

  boolean isReader() {
    return standbyRank() == 0;
  }

  /** Returns 0 for the reader, 1 for the first stand-by and so on; the maximum if not a head. */
  int standbyRank() {
    for (int i = 0; i < heads.size(); i++) {
      if (isSelf(heads.get(i))) {
        return i;
      }
    }
    return Integer.MAX_VALUE;
  }

  Optional<Member> reader() {
    return heads.stream().findFirst();
  }

  /** Returns the readers of the other regions. */
  List<Member> otherReaders() {
    return otherReaders;
  }

  /** Returns the readers of all regions in the order in which they become the reporter. */
  List<Member> readers() {
    List<Member> readers = new ArrayList<>(otherReaders);
    reader().ifPresent(readers::add);
    return Rendezvous.rank(READER_ROLE, readers);
  }

  /** Returns the member that this instance reports its progress to; empty for the reader. */
  Optional<Member> parent() {
    if (isReader()) {
      return Optional.empty();
    }
    if (isHead()) {
      return reader();
    }
    List<Member> treeOrder = ownZone;
    int parent = (treePosition - 1) / fanOut;
    return parent < treeOrder.size() ? Optional.of(treeOrder.get(parent)) : Optional.empty();
  }

  /** Returns the children of this instance in the tree of its zone. */
  List<Member> zoneChildren() {
    List<Member> treeOrder = ownZone;
    int first = treePosition * fanOut + 1;
    if (first >= treeOrder.size()) {
      return List.of();
    }
    return treeOrder.subList(first, Math.min(treeOrder.size(), first + fanOut));
  }

  /** Returns the heads that the reader pushes to; empty for others. */
  List<Member> headChildren() {
    return isReader() ? heads.subList(1, heads.size()) : List.of();
  }

  /** Returns all members that this instance pushes to. */
  List<Member> children() {
    List<Member> children = new ArrayList<>(headChildren());
    children.addAll(zoneChildren());
    return children;
  }

  int memberCount(String region) {
    return memberCounts.getOrDefault(region, 0);
  }
}
