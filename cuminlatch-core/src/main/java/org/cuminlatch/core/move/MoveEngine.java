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
 * Carries a node's part of all open moves.
 *
 * <p>{@link #sharesOf} and {@link #observed} may be called by any thread; all else by the control
 * thread.
 */
public final class MoveEngine
    implements ControlEngine<EvidenceMessage>, VersionShares, CallObserver {

  private final String self;
  private final Locality locality;
  private final Supplier<Snapshot> snapshots;
  private final MembershipView membership;
  private final Outbox outbox;
  private final MoveProgressTracker journal;
  private final MoveSettings settings;
  private final CallCounters counters = new CallCounters();
  private final KnownRollbacks facts = new KnownRollbacks();
  private final NodeReportBuilder reporter;
  private final OutcomePublisher outcomes;
  private final Map<MoveId, NodeMove> moves = new TreeMap<>();
  private final Map<MoveId, MoveAggregator> aggregators = new TreeMap<>();
  private final Map<ZoneTarget, ReportScheduler> zonePacings = new HashMap<>();
  private volatile PublishedShares published = new PublishedShares(Snapshot.empty(), Map.of());
  private Snapshot followed = Snapshot.empty();
  private MeshTopology sight;
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
    this.journal = new MoveProgressTracker(notNull(listener, "listener"));
    this.settings = notNull(settings, "settings");
    this.reporter = new NodeReportBuilder(self, settings);
    this.outcomes = new OutcomePublisher(notNull(sink, "sink"));
    this.sight = new MeshTopology(List.of(), self, locality);
  }

  /**
   * Creates the engine of a node.
   *
   * @param self name of the node's instance
   * @param locality where it stands
   * @param snapshots returns the configuration in force
   * @param membership the other members
   * @param outbox takes messages to other nodes
   * @param sink takes outcomes for the platform's log
   * @param listener hears of each decision
   * @param settings the settings
   * @return an engine that knows no move yet
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
    return published.sharesOf(snapshot, route);
  }

  @Override
  public void observed(CallOutcome outcome) {
    published.count(outcome, counters);
  }

  /**
   * Returns how far the open moves have come; may be called by any thread.
   *
   * @return one entry per open move
   */
  public List<MoveProgress> progress() {
    return journal.progress();
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
      learn(notice.rollbacks(), now);
    }
  }

  @Override
  public void onTick(Instant now) {
    noticePause(now);
    look();
    reporter
        .reports(moves.values(), counters, facts, sight, epoch, now)
        .forEach((aggregator, report) -> send(aggregator, report, now));
    aggregators.values().forEach(aggregator -> decide(aggregator, now));
    aggregators.values().forEach(aggregator -> reportZone(aggregator, now));
    publish(now);
    aggregators
        .values()
        .forEach(
            aggregator -> outcomes.state(aggregator, facts.of(aggregator.move().id()), sight, now));
  }

  private void noticePause(Instant now) {
    if (epoch < 0) {
      epoch = now.toEpochMilli();
    }
    boolean paused =
        lastTick != null && Duration.between(lastTick, now).compareTo(settings.pauseLimit()) > 0;
    lastTick = now;
    if (paused) {
      reporter.forgetReports();
      moves.values().forEach(NodeMove::forgetProof);
      aggregators.values().forEach(aggregator -> aggregator.resumeAfterPause(now));
    }
  }

  private void look() {
    Collection<Member> members = membership.members();
    boolean moved = !sight.isOf(members);
    if (moved) {
      sight = new MeshTopology(members, self, locality);
    }
    Snapshot snapshot = snapshots.get();
    if (moved || snapshot != followed) {
      followed = snapshot;
      follow(snapshot);
    }
  }

  private void follow(Snapshot snapshot) {
    Map<MoveId, MoveState> open = new TreeMap<>();
    for (MoveState state : snapshot.moves().values()) {
      if (state.isOpen()) {
        open.put(MoveId.of(state.move()), state);
      }
    }
    retain(open.keySet());
    int region = sight.regionIndex();
    open.forEach(
        (id, state) ->
            moves.computeIfAbsent(id, key -> new NodeMove(state, region)).update(state, region));
  }

  private void retain(Set<MoveId> open) {
    moves.keySet().retainAll(open);
    aggregators.keySet().retainAll(open);
    journal.retain(open);
    zonePacings.keySet().removeIf(target -> !open.contains(target.move()));
    reporter.retain(open);
    outcomes.retain(open);
    counters.retain(open);
  }

  private void send(String aggregator, NodeReport report, Instant now) {
    if (aggregator.equals(self)) {
      aggregate(report, now).forEach(this::onGrant);
      return;
    }
    membership.member(aggregator).ifPresent(member -> outbox.send(member.controlAddress(), report));
  }

  private void onNodeReport(Address from, NodeReport report, Instant now) {
    learn(report.rollbacks(), now);
    aggregate(report, now).forEach(grant -> outbox.send(from, grant));
    List<Rollback> missing = new ArrayList<>(NodeReportBuilder.factsOf(facts, report.moves()));
    missing.removeIf(fact -> knows(report.rollbacks(), fact.move()));
    if (!missing.isEmpty()) {
      outbox.send(from, new RollbackNotice(missing));
    }
  }

  private static boolean knows(List<Rollback> rollbacks, MoveId move) {
    return rollbacks.stream().anyMatch(rollback -> rollback.move().equals(move));
  }

  private List<StepGrant> aggregate(NodeReport report, Instant now) {
    List<StepGrant> grants = new ArrayList<>();
    for (MoveEvidence evidence : report.moves()) {
      NodeMove move = moves.get(evidence.move());
      if (move == null || !report.locality().equals(locality)) {
        continue;
      }
      move.learnHighestShare(evidence.highestShare());
      MoveAggregator aggregator = aggregatorOf(move);
      aggregator.accept(report, evidence, now);
      if (!facts.contains(move.id()) && aggregator.isWarm(sight, now)) {
        grants.add(aggregator.grantFor(report, sight));
      }
    }
    return grants;
  }

  private MoveAggregator aggregatorOf(NodeMove move) {
    return aggregators.computeIfAbsent(
        move.id(), id -> new MoveAggregator(move, locality, settings));
  }

  private void onZoneReport(ZoneReport report, Instant now) {
    learn(report.rollbacks(), now);
    NodeMove move = moves.get(report.move().move());
    if (move != null) {
      move.learnHighestShare(report.move().highestShare());
      aggregatorOf(move).accept(report, now);
    }
  }

  private void onGrant(StepGrant grant) {
    NodeMove move = moves.get(grant.move());
    if (move != null && grant.echoedEpoch() == epoch && !facts.contains(grant.move())) {
      reporter.sentAt(grant.echoedSequence()).ifPresent(sentAt -> move.grant(grant, sentAt));
    }
  }

  private void learn(List<Rollback> rollbacks, Instant now) {
    List<Rollback> added =
        rollbacks.stream().filter(fact -> facts.add(fact, moves.keySet())).toList();
    if (added.isEmpty()) {
      return;
    }
    publish(now);
    for (Rollback fact : added) {
      Optional.ofNullable(moves.get(fact.move()))
          .ifPresent(
              move -> journal.decided(move, MoveDecision.Kind.ROLL_BACK, fact.reason(), now));
    }
    RollbackNotice notice = new RollbackNotice(added);
    receivers(added).forEach(member -> outbox.send(member.controlAddress(), notice));
  }

  private Set<Member> receivers(List<Rollback> added) {
    Set<Member> receivers = new LinkedHashSet<>();
    for (Rollback fact : added) {
      if (aggregators.containsKey(fact.move())) {
        receivers.addAll(sight.zoneMembers());
        receivers.addAll(sight.aggregators(fact.move()));
      } else {
        sight.ownAggregator(fact.move()).ifPresent(receivers::add);
      }
    }
    receivers.removeIf(member -> member.instance().equals(self));
    return receivers;
  }

  private void decide(MoveAggregator aggregator, Instant now) {
    NodeMove move = aggregator.move();
    boolean settled =
        facts.contains(move.id()) || move.stop().isPresent() || aggregator.isZoneClosed(sight);
    if (settled && !facts.contains(move.id()) && move.stop().isEmpty()) {
      noteUnclosedZones(aggregator, now);
    }
    if (settled || !aggregator.isWarm(sight, now)) {
      return;
    }
    MoveAggregator.Decision decision = aggregator.decide(sight, now);
    if (decision.kind() == MoveDecision.Kind.ROLL_BACK) {
      outcomes.hurry(move.id(), now);
      learn(List.of(new Rollback(move.id(), decision.reason(), now, move.highestShare())), now);
    } else if (!decision.reason().isEmpty()) {
      journal.decided(move, decision.kind(), decision.reason(), now);
    }
  }

  private void noteUnclosedZones(MoveAggregator aggregator, Instant now) {
    List<Locality> unclosed = aggregator.unclosedZones(sight, now);
    if (!unclosed.isEmpty()) {
      Locality first = unclosed.get(0);
      journal.decided(
          aggregator.move(),
          MoveDecision.Kind.HOLD,
          "waiting for the end of the soak in " + first.region() + "/" + first.zone(),
          now);
    }
  }

  private void reportZone(MoveAggregator aggregator, Instant now) {
    NodeMove move = aggregator.move();
    boolean rolledBack = facts.contains(move.id());
    int step = aggregator.reachedStep(sight);
    boolean closed = aggregator.isZoneClosed(sight);
    for (Member member : sight.aggregators(move.id())) {
      if (member.locality().equals(locality)) {
        continue;
      }
      ReportScheduler.Due due =
          zonePacings
              .computeIfAbsent(
                  new ZoneTarget(member.instance(), move.id()), key -> new ReportScheduler())
              .next(
                  () -> aggregator.evidence().ownZone().rows(),
                  new ZoneState(step, closed, rolledBack),
                  interval(member, rolledBack),
                  settings.quietReportInterval(),
                  now);
      if (due.due()) {
        zoneSequence++;
        MoveEvidence sums =
            new MoveEvidence(move.id(), step, move.highestShare(), closed, due.rows());
        List<Rollback> known = facts.of(List.of(move.id()));
        outbox.send(
            member.controlAddress(),
            new ZoneReport(self, epoch, zoneSequence, locality, sums, known));
      }
    }
  }

  private Duration interval(Member receiver, boolean rolledBack) {
    if (rolledBack) {
      return settings.quietReportInterval();
    }
    return receiver.locality().region().equals(locality.region())
        ? settings.reportInterval()
        : settings.regionReportInterval();
  }

  private void publish(Instant now) {
    Duration lifetime = settings.grantLifetime(sight.zoneNodes().size());
    Map<MoveId, Double> shares = new HashMap<>();
    for (NodeMove move : moves.values()) {
      boolean ready = sight.slots(move.id(), move.move()).fresh() > 0;
      double before = move.share();
      move.refresh(facts.contains(move.id()), ready, lifetime, now);
      if (move.share() < before && !facts.contains(move.id())) {
        journal.decided(
            move,
            MoveDecision.Kind.LOWER,
            "the lease on the step has expired, or too few slots are ready",
            now);
      }
      shares.put(move.id(), move.share());
    }
    if (!published.isSame(followed, shares)) {
      published = new PublishedShares(followed, shares);
    }
    journal.refresh(moves.values(), aggregators, facts, sight, now);
  }

  private record ZoneTarget(String aggregator, MoveId move) {}

  private record ZoneState(int step, boolean closed, boolean rolledBack) {}
}
