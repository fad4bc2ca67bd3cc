package org.cuminlatch.core.move;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.move.EvidenceMessage.NodeReport;
import org.cuminlatch.core.move.EvidenceMessage.ZoneReport;

/** Evidence of one move as an aggregator holds it: its own zone by node, the others as sums. */
final class ZoneEvidence {

  private final Map<Source, Evidence> sources = new HashMap<>();
  private final Map<String, NodeStanding> nodes = new HashMap<>();
  private final Map<Locality, ZoneStanding> zones = new HashMap<>();

  void accept(NodeReport report, MoveEvidence evidence, Instant now) {
    Source source = new Source(report.instance(), report.epoch());
    sources.merge(source, Evidence.of(evidence.rows()), Evidence::join);
    NodeStanding known = nodes.get(report.instance());
    boolean closed = evidence.closed() || (known != null && known.closed());
    nodes.put(report.instance(), new NodeStanding(evidence.step(), closed, now));
  }

  void accept(ZoneReport report, Instant now) {
    MoveEvidence evidence = report.move();
    ZoneStanding known = zones.getOrDefault(report.locality(), ZoneStanding.NONE);
    zones.put(
        report.locality(),
        new ZoneStanding(
            known.evidence().join(Evidence.of(evidence.rows())),
            Math.max(known.step(), evidence.step()),
            known.closed() || evidence.closed(),
            now));
  }

  /** Forgets how fresh anything is, as after a pause; the counts stay. */
  void forgetFreshness() {
    nodes.replaceAll((instance, standing) -> standing.heardAt(Instant.MIN));
    zones.replaceAll((zone, standing) -> standing.heardAt(Instant.MIN));
  }

  Evidence ownZone() {
    Evidence sum = Evidence.NONE;
    for (Evidence evidence : sources.values()) {
      sum = sum.plus(evidence);
    }
    return sum;
  }

  Evidence total() {
    Evidence sum = ownZone();
    for (ZoneStanding zone : zones.values()) {
      sum = sum.plus(zone.evidence());
    }
    return sum;
  }

  boolean allHeard(Collection<String> instances, Instant now, Duration within) {
    return instances.stream()
        .allMatch(
            instance -> nodes.containsKey(instance) && fresh(nodes.get(instance), now, within));
  }

  boolean allAtStep(Collection<String> instances, int step) {
    return instances.stream()
        .allMatch(instance -> nodes.containsKey(instance) && nodes.get(instance).step() >= step);
  }

  boolean allClosed(Collection<String> instances) {
    return instances.stream()
        .allMatch(instance -> nodes.containsKey(instance) && nodes.get(instance).closed());
  }

  boolean zonesAgree(Set<Locality> wanted, int step, Instant now, Duration within) {
    return wanted.stream()
        .map(zone -> zones.getOrDefault(zone, ZoneStanding.NONE))
        .allMatch(
            standing ->
                standing.step() >= step
                    && !standing.heard().equals(Instant.MIN)
                    && Duration.between(standing.heard(), now).compareTo(within) <= 0);
  }

  boolean zonesClosed(Set<Locality> wanted) {
    return wanted.stream().allMatch(zone -> zones.getOrDefault(zone, ZoneStanding.NONE).closed());
  }

  /** Returns the sums of the own zone and of the other zones of a region. */
  Evidence regionTotal(String region) {
    Evidence sum = ownZone();
    for (Map.Entry<Locality, ZoneStanding> zone : zones.entrySet()) {
      if (zone.getKey().region().equals(region)) {
        sum = sum.plus(zone.getValue().evidence());
      }
    }
    return sum;
  }

  Set<Locality> zonesHeard() {
    return zones.keySet();
  }

  /** Returns the highest step that a zone of a region has reached with all its nodes. */
  int highestStep(String region) {
    return zones.entrySet().stream()
        .filter(zone -> zone.getKey().region().equals(region))
        .mapToInt(zone -> zone.getValue().step())
        .max()
        .orElse(MoveEvidence.NO_STEP);
  }

  int highestNodeStep() {
    return nodes.values().stream().mapToInt(NodeStanding::step).max().orElse(MoveEvidence.NO_STEP);
  }

  private static boolean fresh(NodeStanding standing, Instant now, Duration within) {
    return !standing.heard().equals(Instant.MIN)
        && Duration.between(standing.heard(), now).compareTo(within) <= 0;
  }

  private record Source(String instance, long epoch) {}

  private record NodeStanding(int step, boolean closed, Instant heard) {

    NodeStanding heardAt(Instant at) {
      return new NodeStanding(step, closed, at);
    }
  }

  private record ZoneStanding(Evidence evidence, int step, boolean closed, Instant heard) {

    static final ZoneStanding NONE =
        new ZoneStanding(Evidence.NONE, MoveEvidence.NO_STEP, false, Instant.MIN);

    ZoneStanding heardAt(Instant at) {
      return new ZoneStanding(evidence, step, closed, at);
    }
  }
}
