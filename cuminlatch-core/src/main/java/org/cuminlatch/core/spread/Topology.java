package org.cuminlatch.core.spread;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
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

  private final MembershipView view;
  private final Member self;
  private final int fanOut;
  private Collection<Member> seen;
  private Map<Locality, List<Member>> orders = Map.of();
  private List<Member> heads = List.of();
  private List<Member> otherReaders = List.of();
  private int position;

  Topology(MembershipView view, Member self, int fanOut) {
    this.view = view;
    this.self = self;
    this.fanOut = fanOut;
  }

  void refresh() {
    Collection<Member> members = view.members();
    if (members == seen) {
      return;
    }
    seen = members;
    Map<Locality, List<Member>> byZone = new HashMap<>();
    for (Member member : members) {
      byZone.computeIfAbsent(member.locality(), unused -> new ArrayList<>()).add(member);
    }
    byZone.replaceAll((zone, inZone) -> order(inZone));
    orders = byZone;
    heads = heads(self.locality().region());
    otherReaders =
        byZone.keySet().stream()
            .map(Locality::region)
            .filter(region -> !region.equals(self.locality().region()))
            .distinct()
            .sorted()
            .map(region -> heads(region).get(0))
            .toList();
    position = positionOfSelf();
  }

  private static List<Member> order(List<Member> inZone) {
    List<Member> ranked = Rendezvous.rank(HEAD_ROLE, inZone);
    Predicate<Member> alive = member -> member.status() == Status.ALIVE;
    Predicate<Member> serving = member -> member.phase() == Phase.SERVING;
    List<Member> order = new ArrayList<>();
    ranked.stream().filter(alive.and(serving)).forEach(order::add);
    ranked.stream().filter(alive.and(serving.negate())).forEach(order::add);
    ranked.stream().filter(alive.negate()).forEach(order::add);
    return order;
  }

  private List<Member> heads(String region) {
    List<Member> found =
        orders.entrySet().stream()
            .filter(entry -> entry.getKey().region().equals(region))
            .map(entry -> entry.getValue().get(0))
            .toList();
    return Rendezvous.rank(READER_ROLE, found);
  }

  private int positionOfSelf() {
    List<Member> order = ownZone();
    for (int i = 0; i < order.size(); i++) {
      if (isSelf(order.get(i))) {
        return i;
      }
    }
    return order.size();
  }

  private List<Member> ownZone() {
    return orders.getOrDefault(self.locality(), List.of());
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
    List<Member> order = ownZone();
    int parent = (position - 1) / fanOut;
    return parent < order.size() ? Optional.of(order.get(parent)) : Optional.empty();
  }

  List<Member> zoneChildren() {
    List<Member> order = ownZone();
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

  int memberCount() {
    return seen == null ? 0 : seen.size();
  }

  int memberCount(String region) {
    return orders.entrySet().stream()
        .filter(entry -> entry.getKey().region().equals(region))
        .mapToInt(entry -> entry.getValue().size())
        .sum();
  }
}
