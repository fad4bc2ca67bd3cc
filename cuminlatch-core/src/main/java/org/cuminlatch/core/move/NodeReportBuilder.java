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

/** Prepares a node's reports and remembers when it sent them, to tell the age of the answers. */
final class NodeReportBuilder {

  private final String self;
  private final MoveSettings settings;
  private final Map<Target, ReportScheduler> pacings = new HashMap<>();
  private final Map<Long, Instant> sentAt = new TreeMap<>();
  private long sequence;

  NodeReportBuilder(String self, MoveSettings settings) {
    this.self = self;
    this.settings = settings;
  }

  /** Returns the reports that are due, by the instance of the aggregator. */
  Map<String, NodeReport> reports(
      Iterable<NodeMove> moves,
      CallCounters counters,
      KnownRollbacks facts,
      MeshTopology sight,
      long epoch,
      Instant now) {
    Map<String, List<MoveEvidence>> byAggregator = new TreeMap<>();
    for (NodeMove move : moves) {
      sight
          .ownAggregator(move.id())
          .ifPresent(
              aggregator -> {
                Target target = new Target(aggregator.instance(), move.id());
                evidence(target, move, counters, facts, sight, now)
                    .ifPresent(
                        evidence ->
                            byAggregator
                                .computeIfAbsent(target.aggregator(), key -> new ArrayList<>())
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
                  self, sight.locality(), epoch, sequence, evidence, factsOf(facts, evidence)));
        });
    forgetOldReports(now, sight);
    return reports;
  }

  private Optional<MoveEvidence> evidence(
      Target target,
      NodeMove move,
      CallCounters counters,
      KnownRollbacks facts,
      MeshTopology sight,
      Instant now) {
    boolean rolledBack = facts.contains(move.id());
    Duration quiet = settings.quietInterval(sight.zoneNodes().size());
    ReportScheduler.Due due =
        pacings
            .computeIfAbsent(target, key -> new ReportScheduler())
            .next(
                () -> counters.rows(move.id()),
                new State(move.step(), move.closed(), rolledBack),
                rolledBack ? quiet : settings.reportInterval(),
                quiet,
                now);
    return due.due() ? Optional.of(move.evidence(due.rows())) : Optional.empty();
  }

  static List<Rollback> factsOf(KnownRollbacks facts, List<MoveEvidence> evidence) {
    return facts.of(evidence.stream().map(MoveEvidence::move).toList());
  }

  private void forgetOldReports(Instant now, MeshTopology sight) {
    Duration lifetime = settings.grantLifetime(sight.zoneNodes().size());
    sentAt.values().removeIf(sent -> Duration.between(sent, now).compareTo(lifetime) > 0);
  }

  /** Returns when a report was sent, empty if it is too old to prove anything. */
  Optional<Instant> sentAt(long reportSequence) {
    return Optional.ofNullable(sentAt.get(reportSequence));
  }

  /** Disowns all reports, so that no answer to them proves anything. */
  void forgetReports() {
    sentAt.clear();
  }

  void retain(Set<MoveId> open) {
    pacings.keySet().removeIf(target -> !open.contains(target.move()));
  }

  private record Target(String aggregator, MoveId move) {}

  private record State(int step, boolean closed, boolean rolledBack) {}
}
