package org.cuminlatch.core.move;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.cuminlatch.core.config.MoveOutcome;
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

  private static final Duration OUTCOME_RETRY = Duration.ofSeconds(5);
  private static final int FRESH_REPORTS = 3;

  private final String self;
  private final Locality locality;
  private final Supplier<Snapshot> snapshots;
  private final MembershipView membership;
  private final Outbox outbox;
  private final OutcomeSink sink;
  private final MoveDecisionListener listener;
  private final MoveSettings settings;
  private final CallCounters counters = new CallCounters();
  private final RollbackFacts facts = new RollbackFacts();
  private final Map<MoveId, NodeMove> moves = new TreeMap<>();
  private final Map<MoveId, MoveAggregator> aggregators = new HashMap<>();
  private final Map<MoveId, String> lastReasons = new HashMap<>();
  private final Map<MoveId, Instant> outcomeDue = new HashMap<>();
  private final Map<Long, Instant> sentReports = new TreeMap<>();
  private volatile PublishedShares published = new PublishedShares(Snapshot.empty(), Map.of());
  private volatile List<MoveProgress> progress = List.of();
  private long epoch = -1;
  private long sequence;
  private Instant lastTick;
  private Instant nextReport = Instant.MIN;
  private Instant nextZoneReport = Instant.MIN;

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
    this.sink = notNull(sink, "sink");
    this.listener = notNull(listener, "listener");
    this.settings = notNull(settings, "settings");
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
    return progress;
  }

  @Override
  public void onMessage(Address from, EvidenceMessage message, Instant now) {
    if (message instanceof NodeReport report) {
      onNodeReport(from, report, now);
    } else if (message instanceof ZoneReport report) {
      learn(report.rollbacks(), now);
      Optional.ofNullable(aggregators.get(report.move().move()))
          .ifPresent(aggregator -> aggregator.accept(report, now));
      learnHighestShare(report.move().move(), report.move().highestShare());
    } else if (message instanceof StepGrant grant) {
      onGrant(grant, now);
    } else if (message instanceof RollbackNotice notice) {
      learn(notice.rollbacks(), now);
    }
  }

  @Override
  public void onTick(Instant now) {
    noticePause(now);
    followSnapshot(snapshots.get());
    if (!now.isBefore(nextReport)) {
      nextReport = now.plus(settings.reportInterval());
      report(now);
    }
    decide(now);
    if (!now.isBefore(nextZoneReport)) {
      nextZoneReport = now.plus(settings.reportInterval());
      reportZone();
    }
    publish(now);
    stateOutcomes(now);
  }

  private void noticePause(Instant now) {
    if (epoch < 0) {
      epoch = now.toEpochMilli();
    }
    boolean paused =
        lastTick != null && Duration.between(lastTick, now).compareTo(settings.pauseLimit()) > 0;
    lastTick = now;
    if (paused) {
      sentReports.clear();
      moves.values().forEach(NodeMove::forgetProof);
      aggregators.values().forEach(aggregator -> aggregator.resumeAfterPause(now));
    }
  }

  private void followSnapshot(Snapshot snapshot) {
    Map<MoveId, MoveState> open = new HashMap<>();
    for (MoveState state : snapshot.moves().values()) {
      if (state.isOpen()) {
        open.put(MoveId.of(state.move()), state);
      }
    }
    moves.keySet().retainAll(open.keySet());
    aggregators.keySet().retainAll(open.keySet());
    outcomeDue.keySet().retainAll(open.keySet());
    lastReasons.keySet().retainAll(open.keySet());
    counters.retain(open.keySet());
    open.forEach(
        (id, state) -> {
          NodeMove known = moves.get(id);
          if (known == null) {
            moves.put(id, new NodeMove(state, settings));
          } else {
            known.update(state);
          }
        });
  }

  private void report(Instant now) {
    Map<String, List<MoveEvidence>> byAggregator = new TreeMap<>();
    Collection<Member> members = membership.members();
    for (NodeMove move : moves.values()) {
      AggregatorRank.aggregator(members, locality, move.id())
          .ifPresent(
              aggregator ->
                  byAggregator
                      .computeIfAbsent(aggregator.instance(), key -> new ArrayList<>())
                      .add(move.evidence(counters.rows(move.id()))));
    }
    byAggregator.forEach((aggregator, evidence) -> sendReport(aggregator, evidence, now));
  }

  private void sendReport(String aggregator, List<MoveEvidence> evidence, Instant now) {
    sequence++;
    sentReports.put(sequence, now);
    sentReports
        .values()
        .removeIf(sent -> Duration.between(sent, now).compareTo(settings.grantLifetime()) > 0);
    NodeReport report =
        new NodeReport(self, locality, epoch, sequence, evidence, factsFor(evidence));
    if (aggregator.equals(self)) {
      aggregate(report, now);
    } else {
      membership
          .member(aggregator)
          .ifPresent(member -> outbox.send(member.controlAddress(), report));
    }
  }

  private List<Rollback> factsFor(List<MoveEvidence> evidence) {
    return facts.of(evidence.stream().map(MoveEvidence::move).toList());
  }

  private void onNodeReport(Address from, NodeReport report, Instant now) {
    learn(report.rollbacks(), now);
    List<StepGrant> grants = aggregate(report, now);
    grants.forEach(grant -> outbox.send(from, grant));
    List<Rollback> missing = new ArrayList<>(factsFor(report.moves()));
    missing.removeAll(report.rollbacks());
    if (!missing.isEmpty()) {
      outbox.send(from, new RollbackNotice(missing));
    }
  }

  private List<StepGrant> aggregate(NodeReport report, Instant now) {
    List<StepGrant> grants = new ArrayList<>();
    for (MoveEvidence evidence : report.moves()) {
      NodeMove move = moves.get(evidence.move());
      if (move == null) {
        continue;
      }
      MoveAggregator aggregator =
          aggregators.computeIfAbsent(
              evidence.move(), key -> new MoveAggregator(locality.region(), move.plan(), settings));
      aggregator.accept(report, evidence, now);
      move.learnHighestShare(evidence.highestShare());
      if (!facts.contains(move.id())) {
        StepGrant grant = grant(move, aggregator, report);
        grants.add(grant);
        if (report.instance().equals(self)) {
          onGrant(grant, now);
        }
      }
    }
    return grants;
  }

  private StepGrant grant(NodeMove move, MoveAggregator aggregator, NodeReport report) {
    return new StepGrant(
        move.id(),
        aggregator.step(),
        aggregator.shareCap(surroundings(move)),
        move.highestShare(),
        report.epoch(),
        report.sequence());
  }

  private void onGrant(StepGrant grant, Instant now) {
    Instant sentAt = sentReports.get(grant.echoedSequence());
    NodeMove move = moves.get(grant.move());
    if (move == null || sentAt == null || grant.echoedEpoch() != epoch) {
      return;
    }
    move.learnHighestShare(grant.highestShare());
    if (!facts.contains(grant.move())) {
      move.grant(grant.step(), grant.shareCap(), sentAt);
    }
  }

  private void learnHighestShare(MoveId id, double share) {
    Optional.ofNullable(moves.get(id)).ifPresent(move -> move.learnHighestShare(share));
  }

  private void learn(List<Rollback> rollbacks, Instant now) {
    List<Rollback> added =
        rollbacks.stream().filter(fact -> facts.add(fact, moves.keySet())).toList();
    if (added.isEmpty()) {
      return;
    }
    for (Rollback fact : added) {
      NodeMove move = moves.get(fact.move());
      if (move != null) {
        decided(move, MoveDecision.Kind.ROLL_BACK, fact.reason(), now);
      }
    }
    publish(now);
    RollbackNotice notice = new RollbackNotice(added);
    for (Member member : receiversOfRollbacks(added)) {
      outbox.send(member.controlAddress(), notice);
    }
  }

  private Set<Member> receiversOfRollbacks(List<Rollback> added) {
    Collection<Member> members = membership.members();
    Set<Member> receivers =
        members.stream()
            .filter(member -> member.locality().equals(locality))
            .collect(Collectors.toSet());
    for (Rollback fact : added) {
      boolean aggregates = aggregators.containsKey(fact.move());
      if (aggregates) {
        receivers.addAll(AggregatorRank.aggregators(members, fact.move()));
      } else {
        receivers.retainAll(
            AggregatorRank.aggregator(members, locality, fact.move()).stream().toList());
      }
    }
    receivers.removeIf(member -> member.instance().equals(self));
    return receivers;
  }

  private void decide(Instant now) {
    aggregators.forEach(
        (id, aggregator) -> {
          NodeMove move = moves.get(id);
          if (facts.contains(id) || move.stopped() || move.closed()) {
            return;
          }
          MoveAggregator.Decision decision =
              aggregator.decide(move.plan(), surroundings(move), now);
          if (decision.kind() == MoveDecision.Kind.ROLL_BACK) {
            learn(List.of(rollback(move, decision.reason(), now)), now);
            outcomeDue.put(id, now);
          } else {
            decided(move, decision.kind(), decision.reason(), now);
          }
        });
  }

  private Rollback rollback(NodeMove move, String reason, Instant now) {
    return new Rollback(move.id(), reason, now, move.highestShare());
  }

  private MoveAggregator.Surroundings surroundings(NodeMove move) {
    Collection<Member> members = membership.members();
    Set<String> zoneNodes =
        members.stream()
            .filter(AggregatorRank::eligible)
            .filter(member -> member.locality().equals(locality))
            .map(Member::instance)
            .collect(Collectors.toSet());
    Set<Locality> regionZones =
        members.stream()
            .filter(AggregatorRank::eligible)
            .map(Member::locality)
            .filter(zone -> zone.region().equals(locality.region()) && !zone.equals(locality))
            .collect(Collectors.toSet());
    return new MoveAggregator.Surroundings(
        zoneNodes,
        regionZones,
        ReadySlots.of(members, move.move(), locality.region()),
        settings.quietReportInterval().multipliedBy(FRESH_REPORTS));
  }

  private void reportZone() {
    Collection<Member> members = membership.members();
    aggregators.forEach(
        (id, aggregator) -> {
          NodeMove move = moves.get(id);
          MoveAggregator.Surroundings around = surroundings(move);
          ZoneEvidence evidence = aggregator.evidence();
          int reached =
              evidence.allAtStep(around.zoneNodes(), aggregator.step())
                  ? aggregator.step()
                  : aggregator.step() - 1;
          MoveEvidence sums =
              new MoveEvidence(
                  id,
                  Math.max(reached, MoveEvidence.NO_STEP),
                  move.highestShare(),
                  evidence.allClosed(around.zoneNodes()),
                  evidence.ownZone().rows());
          ZoneReport report = new ZoneReport(locality, sums, facts.of(List.of(id)));
          for (Member member : AggregatorRank.aggregators(members, id)) {
            if (!member.locality().equals(locality)) {
              outbox.send(member.controlAddress(), report);
            }
          }
        });
  }

  private void publish(Instant now) {
    Snapshot snapshot = snapshots.get();
    Collection<Member> members = membership.members();
    Map<MoveId, Double> shares = new HashMap<>();
    List<MoveProgress> open = new ArrayList<>();
    for (NodeMove move : moves.values()) {
      boolean ready = ReadySlots.of(members, move.move(), locality.region()).fresh() > 0;
      move.refresh(facts.contains(move.id()), ready, now);
      shares.put(move.id(), move.share());
      open.add(progressOf(move));
    }
    published = new PublishedShares(snapshot, shares);
    progress = List.copyOf(open);
  }

  private MoveProgress progressOf(NodeMove move) {
    Optional<Rollback> fact = facts.of(move.id());
    MoveAggregator aggregator = aggregators.get(move.id());
    return new MoveProgress(
        move.move().name(),
        move.move().service(),
        move.step(),
        move.plan().shares().size(),
        move.share(),
        move.highestShare(),
        fact.map(Rollback::reason).orElse(lastReasons.getOrDefault(move.id(), judgedBy(move))),
        aggregator == null ? "" : aggregator.verdict().reason(),
        move.closed(),
        fact.isPresent() || move.stopped());
  }

  private String judgedBy(NodeMove move) {
    return AggregatorRank.aggregator(membership.members(), locality, move.id())
        .map(aggregator -> "judged by " + aggregator.instance())
        .orElse("no aggregator is known");
  }

  private void stateOutcomes(Instant now) {
    for (NodeMove move : moves.values()) {
      MoveAggregator aggregator = aggregators.get(move.id());
      if (aggregator == null) {
        continue;
      }
      Optional<MoveOutcome> outcome = outcomeOf(move, aggregator, now);
      if (outcome.isPresent() && isDue(move, now)) {
        outcomeDue.put(move.id(), now.plus(OUTCOME_RETRY));
        sink.append(outcome.get());
      }
    }
  }

  private Optional<MoveOutcome> outcomeOf(NodeMove move, MoveAggregator aggregator, Instant now) {
    Optional<Rollback> fact = facts.of(move.id());
    if (fact.isPresent()) {
      return Optional.of(
          new MoveOutcome(
              move.move().name(),
              MoveOutcome.Result.ROLLED_BACK,
              fact.get().reason(),
              fact.get().decidedAt(),
              Math.max(fact.get().highestShare(), move.highestShare())));
    }
    if (move.stop().isPresent()) {
      String reason = "stopped by the operator: " + move.stop().get().reason();
      return Optional.of(outcome(move, MoveOutcome.Result.ROLLED_BACK, reason, now));
    }
    if (!isClosedEverywhere(move, aggregator)) {
      return Optional.empty();
    }
    return Optional.of(outcome(move, MoveOutcome.Result.DONE, aggregator.verdict().reason(), now));
  }

  private static MoveOutcome outcome(
      NodeMove move, MoveOutcome.Result result, String reason, Instant now) {
    return new MoveOutcome(move.move().name(), result, reason, now, move.highestShare());
  }

  private boolean isClosedEverywhere(NodeMove move, MoveAggregator aggregator) {
    Set<Locality> others =
        membership.members().stream()
            .filter(AggregatorRank::eligible)
            .map(Member::locality)
            .filter(zone -> !zone.equals(locality))
            .collect(Collectors.toSet());
    others.addAll(aggregator.evidence().zonesHeard());
    return aggregator.evidence().allClosed(surroundings(move).zoneNodes())
        && aggregator.evidence().zonesClosed(others);
  }

  private boolean isDue(NodeMove move, Instant now) {
    Instant due =
        outcomeDue.computeIfAbsent(
            move.id(),
            id -> {
              List<Member> ranked = AggregatorRank.aggregators(membership.members(), id);
              long rank =
                  ranked.stream().takeWhile(member -> !member.instance().equals(self)).count();
              return now.plus(OUTCOME_RETRY.multipliedBy(rank));
            });
    return !now.isBefore(due);
  }

  private void decided(NodeMove move, MoveDecision.Kind kind, String reason, Instant now) {
    String previous = lastReasons.put(move.id(), reason);
    if (kind == MoveDecision.Kind.HOLD && previous != null && sameText(previous, reason)) {
      return;
    }
    listener.decided(
        new MoveDecision(move.move().name(), kind, move.step(), move.share(), reason, now));
  }

  private static boolean sameText(String one, String other) {
    return withoutFigures(one).equals(withoutFigures(other));
  }

  private static String withoutFigures(String reason) {
    return reason.replaceAll("[-0-9.]+", "");
  }
}
