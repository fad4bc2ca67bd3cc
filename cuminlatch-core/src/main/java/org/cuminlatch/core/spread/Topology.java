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
 * Who reads the log and who pushes to whom, derived from the members alone.
 *
 * <p>The first of each zone by rendezvous hashing is its head, the first of a region's heads is its
 * reader, and the others are its stand-bys. Each zone forms a tree below its head.
 */
final class Topology {

  private static final String HEAD_ROLE = "head";
  private static final String READER_ROLE = "reader";

  private static final Duration INTERVAL = Duration.ofMillis(300);

  private final MembershipView view;
  private final Member self;
  private final int fanOut;
  private Collection<Member> seen;
  private final Map<String, Long> weights = new HashMap<>();
  private final Map<String, Integer> counts = new HashMap<>();
  private List<Member> ownZone = List.of();
  private Instant refreshedAt;
  private List<Member> heads = List.of();
  private List<Member> otherReaders = List.of();
  private int position;

  Topology(MembershipView view, Member self, int fanOut) {
    this.view = view;
    this.self = self;
    this.fanOut = fanOut;
  }

  /** Takes in the members as they are now, at most once in an interval. */
  void refresh(Instant now) {
    Collection<Member> members = view.members();
    if (members == seen || seen != null && refreshedAt.plus(INTERVAL).isAfter(now)) {
      return;
    }
    seen = members;
    refreshedAt = now;
    Map<Locality, List<Member>> byZone = new HashMap<>();
    for (Member member : members) {
      byZone.computeIfAbsent(member.locality(), unused -> new ArrayList<>()).add(member);
    }
    counts.clear();
    byZone.forEach((zone, inZone) -> counts.merge(zone.region(), inZone.size(), Integer::sum));
    ownZone = byZone.getOrDefault(self.locality(), new ArrayList<>());
    ownZone.sort(order());
    position = positionOfSelf();
    Map<String, List<Member>> byRegion = new TreeMap<>();
    byZone.forEach(
        (zone, inZone) ->
            byRegion
                .computeIfAbsent(zone.region(), unused -> new ArrayList<>())
                .add(Collections.min(inZone, order())));
    byRegion.replaceAll((region, found) -> Rendezvous.rank(READER_ROLE, found));
    heads = byRegion.getOrDefault(self.locality().region(), List.of());
    byRegion.remove(self.locality().region());
    otherReaders = byRegion.values().stream().map(found -> found.get(0)).toList();
    Set<String> names = new HashSet<>();
    members.forEach(member -> names.add(member.instance()));
    weights.keySet().retainAll(names);
  }

  private Comparator<Member> order() {
    Comparator<Member> byWeight =
        (a, b) -> Long.compareUnsigned(weight(b.instance()), weight(a.instance()));
    return Comparator.comparingInt(Topology::standing)
        .thenComparing(byWeight)
        .thenComparing(Member::instance);
  }

  private static int standing(Member member) {
    if (member.status() != Status.ALIVE) {
      return 2;
    }
    return member.phase() == Phase.SERVING ? 0 : 1;
  }

  private long weight(String instance) {
    return weights.computeIfAbsent(instance, name -> Rendezvous.weight(HEAD_ROLE, name));
  }

  private int positionOfSelf() {
    List<Member> order = ownZone;
    for (int i = 0; i < order.size(); i++) {
      if (isSelf(order.get(i))) {
        return i;
      }
    }
    return order.size();
  }

  private boolean isSelf(Member member) {
    return member.instance().equals(self.instance());
  }

  boolean isHead() {
    return position == 0;
  }

  boolean isReader() {
    return standbyRank() == 0;
  }

  /** Returns 0 for the reader, 1 for the first stand-by and so on; empty ranks are the largest. */
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

  List<Member> otherReaders() {
    return otherReaders;
  }

  /** Returns the readers of all regions, the one that acts for the whole mesh first. */
  List<Member> readers() {
    List<Member> readers = new ArrayList<>(otherReaders);
    reader().ifPresent(readers::add);
    return Rendezvous.rank(READER_ROLE, readers);
  }

  Optional<Member> parent() {
    if (isReader()) {
      return Optional.empty();
    }
    if (isHead()) {
      return reader();
    }
    List<Member> order = ownZone;
    int parent = (position - 1) / fanOut;
    return parent < order.size() ? Optional.of(order.get(parent)) : Optional.empty();
  }

  List<Member> zoneChildren() {
    List<Member> order = ownZone;
    int first = position * fanOut + 1;
    if (first >= order.size()) {
      return List.of();
    }
    return order.subList(first, Math.min(order.size(), first + fanOut));
  }

  /** Returns the heads that the reader pushes to; empty for others. */
  List<Member> headChildren() {
    return isReader() ? heads.subList(1, heads.size()) : List.of();
  }

  List<Member> children() {
    List<Member> children = new ArrayList<>(headChildren());
    children.addAll(zoneChildren());
    return children;
  }

  int memberCount(String region) {
    return counts.getOrDefault(region, 0);
  }
}
