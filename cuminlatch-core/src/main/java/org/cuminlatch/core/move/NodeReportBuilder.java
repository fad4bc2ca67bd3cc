package org.cuminlatch.core.move;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.cuminlatch.core.move.EvidenceMessage.NodeReport;

/**
 * Builds a node's reports and records when they were sent, so that the age of a grant can be told
 * from the report that it responds to.
 */
final class NodeReportBuilder {

  private final String self;
  private final MoveSettings settings;
  private final Map<ReportReceiver, ReportScheduler> schedulers = new HashMap<>();
  private final Map<Long, Instant> sentAt = new TreeMap<>();
  private long sequence;

  NodeReportBuilder(String self, MoveSettings settings) {
    this.self = self;
    this.settings = settings;
  }

  /** Returns the reports that are due, by the aggregator's instance. */
  Map<String, NodeReport> reports(
      Iterable<NodeMove> moves,
      CallCounters counters,
      KnownRollbacks knownRollbacks,
      MeshTopology topology,
      long epoch,
      Instant now) {
    Map<String, List<MoveEvidence>> byAggregator = new TreeMap<>();
    for (NodeMove move : moves) {
      topology
          .localAggregator(move.id())
          .ifPresent(
              aggregator -> {
                ReportReceiver receiver = new ReportReceiver(aggregator.instance(), move.id());
                evidence(receiver, move, counters, knownRollbacks, topology, now)
                    .ifPresent(
                        evidence ->
                            byAggregator
                                .computeIfAbsent(receiver.aggregator(), key -> new ArrayList<>())
                                .add(evidence));
              });
    }
    Map<String, NodeReport> reports = new TreeMap<>();
    byAggregator.forEach(
        (aggregator, evidence) -> {
          sequence++;
          sentAt.put(sequence, now);
          reports.put(
              aggregator,
              new NodeReport(
                  self,
                  topology.locality(),
                  epoch,
                  sequence,
                  evidence,
                  rollbacksOf(knownRollbacks, evidence)));
        });
    forgetExpiredReports(now, topology);
    return reports;
  }

  private Optional<MoveEvidence> evidence(
      ReportReceiver receiver,
      NodeMove move,
      CallCounters counters,
      KnownRollbacks knownRollbacks,
      MeshTopology topology,
      Instant now) {
    boolean rolledBack = knownRollbacks.contains(move.id());
    Duration fullReportInterval = settings.fullReportInterval(topology.localZoneInstances().size());
    ReportScheduler.Decision decision =
        schedulers
            .computeIfAbsent(receiver, key -> new ReportScheduler())
            .next(
                () -> counters.rows(move.id()),
                new ReportedState(move.step(), move.closed(), rolledBack),
                rolledBack ? fullReportInterval : settings.reportInterval(),
                fullReportInterval,
                now);
    return decision.isDue() ? Optional.of(move.evidence(decision.rows())) : Optional.empty();
  }

  static List<Rollback> rollbacksOf(KnownRollbacks knownRollbacks, List<MoveEvidence> evidence) {
    return knownRollbacks.of(evidence.stream().map(MoveEvidence::move).toList());
  }

  private void forgetExpiredReports(Instant now, MeshTopology topology) {
    Duration lifetime = settings.grantLifetime(topology.localZoneInstances().size());
    sentAt.values().removeIf(sentTime -> Duration.between(sentTime, now).compareTo(lifetime) > 0);
  }

  /** Returns when a report was sent, empty if a grant for it would have expired. */
  Optional<Instant> sentAt(long reportSequence) {
    return Optional.ofNullable(sentAt.get(reportSequence));
  }

  /** Forgets all sent reports, so that grants that respond to them are ignored. */
  void forgetSentReports() {
    sentAt.clear();
  }

  void retain(Set<MoveId> openMoves) {
    schedulers.keySet().removeIf(receiver -> !openMoves.contains(receiver.move()));
  }

  private record ReportReceiver(String aggregator, MoveId move) {}

  private record ReportedState(int step, boolean closed, boolean rolledBack) {}
}
