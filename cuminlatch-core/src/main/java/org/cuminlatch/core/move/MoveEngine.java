package org.cuminlatch.core.move;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.cuminlatch.core.config.MoveState;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.control.ControlEngine;
import org.cuminlatch.core.control.Outbox;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.membership.MembershipView;
import org.cuminlatch.core.move.EvidenceMessage.NodeReport;
import org.cuminlatch.core.move.EvidenceMessage.RollbackNotice;
import org.cuminlatch.core.move.EvidenceMessage.StepGrant;
import org.cuminlatch.core.move.EvidenceMessage.ZoneReport;

/**
 * Runs a node's part of all open moves: it reports evidence, aggregates that of its zone where the
 * node is an aggregator, and publishes the shares of the target versions.
 *
 * <p>{@link #sharesOf}, {@link #onCallOutcome} and {@link #progress} may be called by any thread,
 * all other methods only by the control thread.
 */
public final class MoveEngine
    implements ControlEngine<EvidenceMessage>, VersionShares, CallOutcomeListener {

  private final String self;
  private final Locality locality;
  private final Supplier<Snapshot> snapshots;
  private final MembershipView membership;
  private final Outbox outbox;
  private final MoveProgressTracker progressTracker;
  private final MoveSettings settings;
  private final CallCounters counters = new CallCounters();
  private final KnownRollbacks knownRollbacks = new KnownRollbacks();
  private final NodeReportBuilder reportBuilder;
  private final OutcomePublisher outcomePublisher;
  private final Map<MoveId, NodeMove> moves = new TreeMap<>();
  private final Map<MoveId, MoveAggregator> aggregators = new TreeMap<>();
  private final Map<ZoneReportReceiver, ReportScheduler> zoneReportSchedulers = new HashMap<>();
  private volatile PublishedShares publishedShares =
      new PublishedShares(Snapshot.empty(), Map.of());
  private Snapshot appliedSnapshot = Snapshot.empty();
  private MeshTopology topology;
  private long epoch = -1;
  private long zoneSequence;
  private Instant lastTick;

  private MoveEngine(
      String self,
      Locality locality,
      Supplier<Snapshot> snapshots,
      MembershipView membership,
      Outbox outbox,
      OutcomeSink sink,
      MoveDecisionListener listener,
      MoveSettings settings) {
    this.self = notBlank(self, "self");
    this.locality = notNull(locality, "locality");
    this.snapshots = notNull(snapshots, "snapshots");
    this.membership = notNull(membership, "membership");
    this.outbox = notNull(outbox, "outbox");
    this.progressTracker = new MoveProgressTracker(notNull(listener, "listener"));
    this.settings = notNull(settings, "settings");
    this.reportBuilder = new NodeReportBuilder(self, settings);
    this.outcomePublisher = new OutcomePublisher(notNull(sink, "sink"));
    this.topology = new MeshTopology(List.of(), self, locality);
  }

  /**
   * Creates the engine of a node.
   *
   * @param self name of the node's instance
   * @param locality region and zone of the node
   * @param snapshots returns the configuration in force
   * @param membership members of the mesh
   * @param outbox sends messages to other nodes
   * @param sink receives outcomes for the platform's log
   * @param listener receives each decision
   * @param settings settings of the moves
   * @return an engine without moves
   */
  public static MoveEngine create(
      String self,
      Locality locality,
      Supplier<Snapshot> snapshots,
      MembershipView membership,
      Outbox outbox,
      OutcomeSink sink,
      MoveDecisionListener listener,
      MoveSettings settings) {
    return new MoveEngine(self, locality, snapshots, membership, outbox, sink, listener, settings);
  }

  @Override
  public List<VersionShare> sharesOf(Snapshot snapshot, Route route) {
    return publishedShares.sharesOf(snapshot, route);
  }

  @Override
  public void onCallOutcome(CallOutcome outcome) {
    publishedShares.count(outcome, counters);
  }

  /**
   * Returns the progress of the open moves. May be called by any thread.
   *
   * @return one entry per open move
   */
  public List<MoveProgress> progress() {
    return progressTracker.progress();
  }

  @Override
  public void onMessage(Address from, EvidenceMessage message, Instant now) {
    if (message instanceof NodeReport report) {
      onNodeReport(from, report, now);
    } else if (message instanceof ZoneReport report) {
      onZoneReport(report, now);
    } else if (message instanceof StepGrant grant) {
      onGrant(grant);
    } else if (message instanceof RollbackNotice notice) {
      applyRollbacks(notice.rollbacks(), now);
    }
  }

  @Override
  public void onTick(Instant now) {
    detectPause(now);
    refreshInputs();
    reportBuilder
        .reports(moves.values(), counters, knownRollbacks, topology, epoch, now)
        .forEach((aggregator, report) -> send(aggregator, report, now));
    aggregators.values().forEach(aggregator -> decide(aggregator, now));
    aggregators.values().forEach(aggregator -> reportZone(aggregator, now));
    publish(now);
    aggregators
        .values()
        .forEach(
            aggregator ->
                outcomePublisher.publishWhenDue(
                    aggregator, knownRollbacks.of(aggregator.move().id()), topology, now));
  }

  private void detectPause(Instant now) {
    if (epoch < 0) {
      epoch = now.toEpochMilli();
    }
    boolean paused =
        lastTick != null
            && Duration.between(lastTick, now).compareTo(settings.pauseThreshold()) > 0;
    lastTick = now;
    if (paused) {
      reportBuilder.forgetSentReports();
      moves.values().forEach(NodeMove::dropLease);
      aggregators.values().forEach(aggregator -> aggregator.resumeAfterPause(now));
    }
  }

  private void refreshInputs() {
    Collection<Member> members = membership.members();
    boolean membershipChanged = !topology.isBuiltFrom(members);
    if (membershipChanged) {
      topology = new MeshTopology(members, self, locality);
    }
    Snapshot snapshot = snapshots.get();
    if (membershipChanged || snapshot != appliedSnapshot) {
      appliedSnapshot = snapshot;
      applySnapshot(snapshot);
    }
  }

  private void applySnapshot(Snapshot snapshot) {
    Map<MoveId, MoveState> openMoves = new TreeMap<>();
    for (MoveState moveState : snapshot.moves().values()) {
      if (moveState.isOpen()) {
        openMoves.put(MoveId.of(moveState.move()), moveState);
      }
    }
    retain(openMoves.keySet());
    int regionIndex = topology.regionIndex();
    openMoves.forEach(
        (id, moveState) ->
            moves
                .computeIfAbsent(id, key -> new NodeMove(moveState, regionIndex))
                .update(moveState, regionIndex));
  }

  private void retain(Set<MoveId> openMoves) {
    moves.keySet().retainAll(openMoves);
    aggregators.keySet().retainAll(openMoves);
    progressTracker.retain(openMoves);
    zoneReportSchedulers.keySet().removeIf(receiver -> !openMoves.contains(receiver.move()));
    reportBuilder.retain(openMoves);
    outcomePublisher.retain(openMoves);
    counters.retain(openMoves);
  }

  private void send(String aggregator, NodeReport report, Instant now) {
    if (aggregator.equals(self)) {
      aggregate(report, now).forEach(this::onGrant);
      return;
    }
    membership.member(aggregator).ifPresent(member -> outbox.send(member.controlAddress(), report));
  }

  private void onNodeReport(Address from, NodeReport report, Instant now) {
    applyRollbacks(report.rollbacks(), now);
    aggregate(report, now).forEach(grant -> outbox.send(from, grant));
    List<Rollback> missing =
        new ArrayList<>(NodeReportBuilder.rollbacksOf(knownRollbacks, report.moves()));
    missing.removeIf(rollback -> containsMove(report.rollbacks(), rollback.move()));
    if (!missing.isEmpty()) {
      outbox.send(from, new RollbackNotice(missing));
    }
  }

  private static boolean containsMove(List<Rollback> rollbacks, MoveId move) {
    return rollbacks.stream().anyMatch(rollback -> rollback.move().equals(move));
  }

  private List<StepGrant> aggregate(NodeReport report, Instant now) {
    List<StepGrant> grants = new ArrayList<>();
    for (MoveEvidence evidence : report.moves()) {
      NodeMove move = moves.get(evidence.move());
      if (move == null || !report.locality().equals(locality)) {
        continue;
      }
      move.raiseHighestShare(evidence.highestShare());
      MoveAggregator aggregator = aggregatorOf(move);
      aggregator.accept(report, evidence, now);
      if (!knownRollbacks.contains(move.id()) && aggregator.haveAllNodesReported(topology, now)) {
        grants.add(aggregator.grantFor(report, topology));
      }
    }
    return grants;
  }

  private MoveAggregator aggregatorOf(NodeMove move) {
    return aggregators.computeIfAbsent(
        move.id(), id -> new MoveAggregator(move, locality, settings));
  }

  private void onZoneReport(ZoneReport report, Instant now) {
    applyRollbacks(report.rollbacks(), now);
    NodeMove move = moves.get(report.move().move());
    if (move != null) {
      move.raiseHighestShare(report.move().highestShare());
      aggregatorOf(move).accept(report, now);
    }
  }

  private void onGrant(StepGrant grant) {
    NodeMove move = moves.get(grant.move());
    if (move != null && grant.echoedEpoch() == epoch && !knownRollbacks.contains(grant.move())) {
      reportBuilder
          .sentAt(grant.echoedSequence())
          .ifPresent(sentAt -> move.applyGrant(grant, sentAt));
    }
  }

  private void applyRollbacks(List<Rollback> rollbacks, Instant now) {
    List<Rollback> newRollbacks =
        rollbacks.stream()
            .filter(rollback -> knownRollbacks.add(rollback, moves.keySet()))
            .toList();
    if (newRollbacks.isEmpty()) {
      return;
    }
    publish(now);
    for (Rollback rollback : newRollbacks) {
      Optional.ofNullable(moves.get(rollback.move()))
          .ifPresent(
              move ->
                  progressTracker.recordDecision(
                      move, MoveDecision.Kind.ROLL_BACK, rollback.reason(), now));
    }
    RollbackNotice notice = new RollbackNotice(newRollbacks);
    noticeReceivers(newRollbacks).forEach(member -> outbox.send(member.controlAddress(), notice));
  }

  private Set<Member> noticeReceivers(List<Rollback> newRollbacks) {
    Set<Member> receivers = new LinkedHashSet<>();
    for (Rollback rollback : newRollbacks) {
      if (aggregators.containsKey(rollback.move())) {
        receivers.addAll(topology.localZoneMembers());
        receivers.addAll(topology.aggregators(rollback.move()));
      } else {
        topology.localAggregator(rollback.move()).ifPresent(receivers::add);
      }
    }
    receivers.removeIf(member -> member.instance().equals(self));
    return receivers;
  }

  private void decide(MoveAggregator aggregator, Instant now) {
    NodeMove move = aggregator.move();
    boolean decisionFinal =
        knownRollbacks.contains(move.id())
            || move.stop().isPresent()
            || aggregator.isZoneClosed(topology);
    if (decisionFinal && !knownRollbacks.contains(move.id()) && move.stop().isEmpty()) {
      recordUnclosedZones(aggregator, now);
    }
    if (decisionFinal || !aggregator.haveAllNodesReported(topology, now)) {
      return;
    }
    MoveAggregator.Decision decision = aggregator.decide(topology, now);
    if (decision.kind() == MoveDecision.Kind.ROLL_BACK) {
      outcomePublisher.skipRankDelay(move.id(), now);
      applyRollbacks(
          List.of(new Rollback(move.id(), decision.reason(), now, move.highestShare())), now);
    } else if (!decision.reason().isEmpty()) {
      progressTracker.recordDecision(move, decision.kind(), decision.reason(), now);
    }
  }

  private void recordUnclosedZones(MoveAggregator aggregator, Instant now) {
    List<Locality> unclosed = aggregator.unclosedZones(topology, now);
    if (!unclosed.isEmpty()) {
      Locality first = unclosed.get(0);
      progressTracker.recordDecision(
          aggregator.move(),
          MoveDecision.Kind.HOLD,
          "waiting for the end of the soak in " + first.region() + "/" + first.zone(),
          now);
    }
  }

  private void reportZone(MoveAggregator aggregator, Instant now) {
    NodeMove move = aggregator.move();
    boolean rolledBack = knownRollbacks.contains(move.id());
    int step = aggregator.reachedStep(topology);
    boolean closed = aggregator.isZoneClosed(topology);
    for (Member member : topology.aggregators(move.id())) {
      if (member.locality().equals(locality)) {
        continue;
      }
      ReportScheduler.Decision decision =
          zoneReportSchedulers
              .computeIfAbsent(
                  new ZoneReportReceiver(member.instance(), move.id()),
                  key -> new ReportScheduler())
              .next(
                  () -> aggregator.evidence().localZone().rows(),
                  new ReportedZoneState(step, closed, rolledBack),
                  zoneReportInterval(member, rolledBack),
                  settings.fullReportInterval(),
                  now);
      if (decision.isDue()) {
        zoneSequence++;
        MoveEvidence sums =
            new MoveEvidence(move.id(), step, move.highestShare(), closed, decision.rows());
        List<Rollback> moveRollbacks = knownRollbacks.of(List.of(move.id()));
        outbox.send(
            member.controlAddress(),
            new ZoneReport(self, epoch, zoneSequence, locality, sums, moveRollbacks));
      }
    }
  }

  private Duration zoneReportInterval(Member receiver, boolean rolledBack) {
    if (rolledBack) {
      return settings.fullReportInterval();
    }
    return receiver.locality().region().equals(locality.region())
        ? settings.reportInterval()
        : settings.crossRegionReportInterval();
  }

  private void publish(Instant now) {
    Duration lifetime = settings.grantLifetime(topology.localZoneInstances().size());
    Map<MoveId, Double> shares = new HashMap<>();
    for (NodeMove move : moves.values()) {
      boolean ready = topology.readySlots(move.id(), move.move()).newSlots() > 0;
      double previousShare = move.share();
      move.refresh(knownRollbacks.contains(move.id()), ready, lifetime, now);
      if (move.share() < previousShare && !knownRollbacks.contains(move.id())) {
        progressTracker.recordDecision(
            move,
            MoveDecision.Kind.LOWER,
            "the lease on the step has expired, or too few slots are ready",
            now);
      }
      shares.put(move.id(), move.share());
    }
    if (!publishedShares.isSame(appliedSnapshot, shares)) {
      publishedShares = new PublishedShares(appliedSnapshot, shares);
    }
    progressTracker.refresh(moves.values(), aggregators, knownRollbacks, topology, now);
  }

  private record ZoneReportReceiver(String aggregator, MoveId move) {}

  private record ReportedZoneState(int step, boolean closed, boolean rolledBack) {}
}
