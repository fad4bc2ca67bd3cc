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
 * Evidence of one move that an aggregator has received: of its own zone by node, of the other zones
 * as sums.
 *
 * <p>Counts are kept by node and process run, so that the counts of a restarted node add up. When
 * the aggregator of another zone changes, only the increase over the stored sums is added, because
 * the new aggregator may have received fewer reports than the previous one.
 */
final class AggregatedEvidence {

  private final Map<Source, Evidence> sources = new HashMap<>();
  private final Map<String, NodeState> nodes = new HashMap<>();
  private final Map<Locality, ZoneState> zones = new HashMap<>();
  private Evidence total = Evidence.NONE;
  private Evidence localZone = Evidence.NONE;
  private boolean changed;
  private boolean localZoneChanged;

  void accept(NodeReport report, MoveEvidence evidence, Instant now) {
    Source source = new Source(report.instance(), report.epoch());
    sources.merge(source, Evidence.of(evidence.rows()), Evidence::join);
    NodeState previousState = nodes.get(report.instance());
    boolean closed = evidence.closed() || (previousState != null && previousState.closed());
    nodes.put(report.instance(), new NodeState(evidence.step(), closed, now));
    localZoneChanged = localZoneChanged || !evidence.rows().isEmpty();
    changed = changed || localZoneChanged;
  }

  void accept(ZoneReport report, Instant now) {
    ZoneState previousState = zones.getOrDefault(report.locality(), ZoneState.NONE);
    zones.put(report.locality(), previousState.withReport(report, now));
    changed = changed || !report.move().rows().isEmpty();
  }

  /** Treats all reports as expired, as after a pause; the counts stay. */
  void expireReports() {
    nodes.replaceAll((instance, nodeState) -> nodeState.withReportedAt(Instant.MIN));
    zones.replaceAll((zone, zoneState) -> zoneState.withReportedAt(Instant.MIN));
  }

  Evidence localZone() {
    if (localZoneChanged) {
      localZone = Evidence.sum(sources.values());
      localZoneChanged = false;
    }
    return localZone;
  }

  Evidence total() {
    if (changed) {
      total = localZone();
      for (ZoneState zone : zones.values()) {
        total = total.plus(zone.evidence());
      }
      changed = false;
    }
    return total;
  }

  /** Returns the sum of the local zone and of the other zones of a region. */
  Evidence regionTotal(String region) {
    Evidence sum = localZone();
    for (Map.Entry<Locality, ZoneState> zone : zones.entrySet()) {
      if (zone.getKey().region().equals(region)) {
        sum = sum.plus(zone.getValue().evidence());
      }
    }
    return sum;
  }

  /** Returns the instances whose latest report is older than a maximum age, or missing. */
  Set<String> instancesWithoutRecentReport(
      Collection<String> instances, Instant now, Duration maxAge) {
    Set<String> silentInstances = new TreeSet<>(instances);
    silentInstances.removeIf(
        instance -> nodes.containsKey(instance) && hasRecentReport(instance, now, maxAge));
    return silentInstances;
  }

  boolean allAtStep(Collection<String> instances, int step) {
    return instances.stream()
        .allMatch(instance -> nodes.containsKey(instance) && nodes.get(instance).step() >= step);
  }

  boolean allClosed(Collection<String> instances) {
    return instances.stream()
        .allMatch(instance -> nodes.containsKey(instance) && nodes.get(instance).closed());
  }

  /** Returns whether zones have recently reported that all their nodes have reached a step. */
  boolean zonesRecentlyAtStep(
      Collection<Locality> expectedZones, int step, Instant now, Duration maxAge) {
    return expectedZones.stream()
        .map(this::zoneState)
        .allMatch(zone -> zone.step() >= step && isRecent(zone.reportedAt(), now, maxAge));
  }

  boolean zonesAtStep(Collection<Locality> expectedZones, int step) {
    return expectedZones.stream().allMatch(zone -> zoneState(zone).step() >= step);
  }

  boolean isClosed(Locality zone) {
    return zoneState(zone).closed();
  }

  Instant lastReportAt(Locality zone) {
    return zoneState(zone).reportedAt();
  }

  Set<Locality> reportingZones() {
    return zones.keySet();
  }

  /** Returns the highest step that a node of the local zone or a zone of the region has reached. */
  int highestStep(String region) {
    int highest = MoveEvidence.NO_STEP;
    for (NodeState node : nodes.values()) {
      highest = Math.max(highest, node.step());
    }
    for (Map.Entry<Locality, ZoneState> zone : zones.entrySet()) {
      if (zone.getKey().region().equals(region)) {
        highest = Math.max(highest, zone.getValue().step());
      }
    }
    return highest;
  }

  private ZoneState zoneState(Locality zone) {
    return zones.getOrDefault(zone, ZoneState.NONE);
  }

  private boolean hasRecentReport(String instance, Instant now, Duration maxAge) {
    return isRecent(nodes.get(instance).reportedAt(), now, maxAge);
  }

  private static boolean isRecent(Instant reportedAt, Instant now, Duration maxAge) {
    return !reportedAt.equals(Instant.MIN)
        && Duration.between(reportedAt, now).compareTo(maxAge) <= 0;
  }

  private record Source(String instance, long epoch) {}

  private record NodeState(int step, boolean closed, Instant reportedAt) {

    NodeState withReportedAt(Instant newReportTime) {
      return new NodeState(step, closed, newReportTime);
    }
  }

  private record ZoneState(
      Evidence evidence,
      Source source,
      long sequence,
      Evidence lastReportedEvidence,
      int step,
      boolean closed,
      Instant reportedAt) {

    static final ZoneState NONE =
        new ZoneState(
            Evidence.NONE,
            new Source("", 0),
            0,
            Evidence.NONE,
            MoveEvidence.NO_STEP,
            false,
            Instant.MIN);

    ZoneState withReport(ZoneReport report, Instant now) {
      MoveEvidence move = report.move();
      Source reporter = new Source(report.instance(), report.epoch());
      Evidence reported = Evidence.of(move.rows());
      boolean sameSource = reporter.equals(source);
      if (sameSource && report.sequence() <= sequence) {
        return this;
      }
      Evidence previouslyReported = sameSource ? lastReportedEvidence : evidence;
      return new ZoneState(
          evidence.plus(reported.since(previouslyReported)),
          reporter,
          report.sequence(),
          previouslyReported.overriddenBy(reported),
          Math.max(step, move.step()),
          closed || move.closed(),
          now);
    }

    ZoneState withReportedAt(Instant newReportTime) {
      return new ZoneState(
          evidence, source, sequence, lastReportedEvidence, step, closed, newReportTime);
    }
  }
}
