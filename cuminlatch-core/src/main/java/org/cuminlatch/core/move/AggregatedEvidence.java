package org.cuminlatch.core.move;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.move.EvidenceMessage.NodeReport;
import org.cuminlatch.core.move.EvidenceMessage.ZoneReport;

/**
 * Evidence of one move as an aggregator holds it: its own zone by node, the other zones as sums.
 *
 * <p>Counts are kept by the run of a node, so that a restarted node's counts add up. Of another
 * zone only the growth is added once its aggregator changes, because the next one may have been
 * told less than the one before.
 */
final class AggregatedEvidence {

  private final Map<Source, Evidence> sources = new HashMap<>();
  private final Map<String, NodeStanding> nodes = new HashMap<>();
  private final Map<Locality, ZoneStanding> zones = new HashMap<>();
  private Evidence total = Evidence.NONE;
  private Evidence ownZone = Evidence.NONE;
  private boolean changed;
  private boolean ownZoneChanged;

  void accept(NodeReport report, MoveEvidence evidence, Instant now) {
    Source source = new Source(report.instance(), report.epoch());
    sources.merge(source, Evidence.of(evidence.rows()), Evidence::join);
    NodeStanding known = nodes.get(report.instance());
    boolean closed = evidence.closed() || (known != null && known.closed());
    nodes.put(report.instance(), new NodeStanding(evidence.step(), closed, now));
    ownZoneChanged = ownZoneChanged || !evidence.rows().isEmpty();
    changed = changed || ownZoneChanged;
  }

  void accept(ZoneReport report, Instant now) {
    ZoneStanding known = zones.getOrDefault(report.locality(), ZoneStanding.NONE);
    zones.put(report.locality(), known.advance(report, now));
    changed = changed || !report.move().rows().isEmpty();
  }

  /** Forgets how fresh anything is, as after a pause; the counts stay. */
  void forgetFreshness() {
    nodes.replaceAll((instance, standing) -> standing.heardAt(Instant.MIN));
    zones.replaceAll((zone, standing) -> standing.heardAt(Instant.MIN));
  }

  Evidence ownZone() {
    if (ownZoneChanged) {
      ownZone = Evidence.sum(sources.values());
      ownZoneChanged = false;
    }
    return ownZone;
  }

  Evidence total() {
    if (changed) {
      total = ownZone();
      for (ZoneStanding zone : zones.values()) {
        total = total.plus(zone.evidence());
      }
      changed = false;
    }
    return total;
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

  /** Returns the instances that have not reported within a time. */
  Set<String> unheard(Collection<String> instances, Instant now, Duration within) {
    Set<String> unheard = new TreeSet<>(instances);
    unheard.removeIf(instance -> nodes.containsKey(instance) && fresh(instance, now, within));
    return unheard;
  }

  boolean allAtStep(Collection<String> instances, int step) {
    return instances.stream()
        .allMatch(instance -> nodes.containsKey(instance) && nodes.get(instance).step() >= step);
  }

  boolean allClosed(Collection<String> instances) {
    return instances.stream()
        .allMatch(instance -> nodes.containsKey(instance) && nodes.get(instance).closed());
  }

  /** Returns whether zones have lately reported that all their nodes are at a step. */
  boolean zonesAgree(Collection<Locality> wanted, int step, Instant now, Duration within) {
    return wanted.stream()
        .map(this::standing)
        .allMatch(zone -> zone.step() >= step && isWithin(zone.heard(), now, within));
  }

  boolean zonesAtStep(Collection<Locality> wanted, int step) {
    return wanted.stream().allMatch(zone -> standing(zone).step() >= step);
  }

  boolean isClosed(Locality zone) {
    return standing(zone).closed();
  }

  Instant heardOf(Locality zone) {
    return standing(zone).heard();
  }

  Set<Locality> zonesHeard() {
    return zones.keySet();
  }

  /** Returns the highest step that any node of the own zone or zone of the region has reached. */
  int highestStep(String region) {
    int highest = MoveEvidence.NO_STEP;
    for (NodeStanding node : nodes.values()) {
      highest = Math.max(highest, node.step());
    }
    for (Map.Entry<Locality, ZoneStanding> zone : zones.entrySet()) {
      if (zone.getKey().region().equals(region)) {
        highest = Math.max(highest, zone.getValue().step());
      }
    }
    return highest;
  }

  private ZoneStanding standing(Locality zone) {
    return zones.getOrDefault(zone, ZoneStanding.NONE);
  }

  private boolean fresh(String instance, Instant now, Duration within) {
    return isWithin(nodes.get(instance).heard(), now, within);
  }

  private static boolean isWithin(Instant heard, Instant now, Duration within) {
    return !heard.equals(Instant.MIN) && Duration.between(heard, now).compareTo(within) <= 0;
  }

  private record Source(String instance, long epoch) {}

  private record NodeStanding(int step, boolean closed, Instant heard) {

    NodeStanding heardAt(Instant at) {
      return new NodeStanding(step, closed, at);
    }
  }

  private record ZoneStanding(
      Evidence evidence,
      Source source,
      long sequence,
      Evidence sourceEvidence,
      int step,
      boolean closed,
      Instant heard) {

    static final ZoneStanding NONE =
        new ZoneStanding(
            Evidence.NONE,
            new Source("", 0),
            0,
            Evidence.NONE,
            MoveEvidence.NO_STEP,
            false,
            Instant.MIN);

    ZoneStanding advance(ZoneReport report, Instant now) {
      MoveEvidence move = report.move();
      Source reporter = new Source(report.instance(), report.epoch());
      Evidence reported = Evidence.of(move.rows());
      boolean sameSource = reporter.equals(source);
      if (sameSource && report.sequence() <= sequence) {
        return this;
      }
      Evidence before = sameSource ? sourceEvidence : evidence;
      return new ZoneStanding(
          evidence.plus(reported.since(before)),
          reporter,
          report.sequence(),
          before.overlaidBy(reported),
          Math.max(step, move.step()),
          closed || move.closed(),
          now);
    }

    ZoneStanding heardAt(Instant at) {
      return new ZoneStanding(evidence, source, sequence, sourceEvidence, step, closed, at);
    }
  }
}
