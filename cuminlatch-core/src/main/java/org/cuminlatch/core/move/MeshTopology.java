package org.cuminlatch.core.move;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Member;

/**
 * Zones, regions, aggregators and ready slots as one node derives them from one snapshot of the
 * membership. Aggregators and slots are computed on first use and cached.
 */
final class MeshTopology {

  private final Collection<Member> members;
  private final String self;
  private final Locality locality;
  private final Map<String, Member> localZoneMembers = new HashMap<>();
  private final Set<Locality> otherZonesInRegion = new HashSet<>();
  private final Set<Locality> otherZones = new HashSet<>();
  private final TreeSet<String> regions = new TreeSet<>();
  private final Map<MoveId, List<Member>> aggregators = new HashMap<>();
  private final Map<MoveId, ReadySlots> readySlots = new HashMap<>();

  MeshTopology(Collection<Member> members, String self, Locality locality) {
    this.members = members;
    this.self = self;
    this.locality = locality;
    for (Member member : members) {
      if (AggregatorSelection.isEligible(member)) {
        addMember(member);
      }
    }
  }

  private void addMember(Member member) {
    Locality zone = member.locality();
    regions.add(zone.region());
    if (zone.equals(locality)) {
      localZoneMembers.put(member.instance(), member);
      return;
    }
    otherZones.add(zone);
    if (zone.region().equals(locality.region())) {
      otherZonesInRegion.add(zone);
    }
  }

  /** Returns whether this was derived from the very collection that is passed. */
  boolean isBuiltFrom(Collection<Member> otherMembers) {
    return members == otherMembers;
  }

  Locality locality() {
    return locality;
  }

  /** Returns the live instances of the local zone. */
  Set<String> localZoneInstances() {
    return localZoneMembers.keySet();
  }

  Collection<Member> localZoneMembers() {
    return localZoneMembers.values();
  }

  /** Returns the other zones of the local region that have live members. */
  Set<Locality> otherZonesInRegion() {
    return otherZonesInRegion;
  }

  /** Returns all other zones that have live members. */
  Set<Locality> otherZones() {
    return otherZones;
  }

  /** Returns the index of the local region among all regions, sorted by name. */
  int regionIndex() {
    return regions.headSet(locality.region()).size();
  }

  /** Returns the aggregators of a move, one per zone, the highest-ranked first. */
  List<Member> aggregators(MoveId move) {
    return aggregators.computeIfAbsent(
        move, id -> AggregatorSelection.rankedAggregators(members, id));
  }

  Optional<Member> localAggregator(MoveId move) {
    return aggregators(move).stream()
        .filter(member -> member.locality().equals(locality))
        .findFirst();
  }

  /** Returns how many aggregators of a move rank above this node. */
  int ownRank(MoveId move) {
    int rank = 0;
    for (Member member : aggregators(move)) {
      if (member.instance().equals(self)) {
        return rank;
      }
      rank++;
    }
    return rank;
  }

  ReadySlots readySlots(MoveId id, Move move) {
    return readySlots.computeIfAbsent(id, key -> ReadySlots.of(members, move, locality.region()));
  }
}
