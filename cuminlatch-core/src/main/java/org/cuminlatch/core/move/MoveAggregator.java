package org.cuminlatch.core.move;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Stream;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.move.EvidenceMessage.NodeReport;
import org.cuminlatch.core.move.EvidenceMessage.StepGrant;
import org.cuminlatch.core.move.EvidenceMessage.ZoneReport;
import org.cuminlatch.core.move.EvidenceRow.Side;

/**
 * Evaluates one move on behalf of a zone and decides on its steps.
 *
 * <p>An aggregator raises its region by one step at a time, and only when every live node of its
 * zone and every other zone of its region has recently reported the previous step. Two aggregators
 * that are unaware of each other can therefore grant the same step but can't skip a step between
 * them. After a start or a pause an aggregator grants nothing until every live node of its zone has
 * reported, because any of them may hold a rollback.
 */
final class MoveAggregator {

  private static final Duration EVALUATION_INTERVAL = Duration.ofMillis(500);

  private final NodeMove move;
  private final Locality locality;
  private final MoveSettings settings;
  private final AggregatedEvidence evidence = new AggregatedEvidence();
  private final SlotDemandEstimator slotDemand = new SlotDemandEstimator();
  private final VersionEvaluator evaluator;
  private Evaluation evaluation = Evaluation.NONE;
  private int step = MoveEvidence.NO_STEP;
  private boolean allNodesReported;
  private boolean zoneClosed;
  private Instant stepEnteredAt = Instant.MIN;
  private Instant nextEvaluation = Instant.MIN;
  private long newCallsAtStepEntry;

  MoveAggregator(NodeMove move, Locality locality, MoveSettings settings) {
    this.move = move;
    this.locality = locality;
    this.settings = settings;
    this.evaluator = new VersionEvaluator(move.plan(), settings.maxFalseRollbackRate());
  }

  /** Decision of an aggregator and its reason; an empty reason is not logged. */
  record Decision(MoveDecision.Kind kind, String reason) {}

  void accept(NodeReport report, MoveEvidence reported, Instant now) {
    evidence.accept(report, reported, now);
  }

  void accept(ZoneReport report, Instant now) {
    evidence.accept(report, now);
  }

  void resumeAfterPause(Instant now) {
    evidence.expireReports();
    allNodesReported = false;
    stepEnteredAt = now;
  }

  /** Returns whether every live node of the zone has reported since the start or the last pause. */
  boolean haveAllNodesReported(MeshTopology topology, Instant now) {
    allNodesReported =
        allNodesReported
            || evidence
                .instancesWithoutRecentReport(
                    topology.localZoneInstances(), now, maxReportAge(topology))
                .isEmpty();
    return allNodesReported;
  }

  StepGrant grantFor(NodeReport report, MeshTopology topology) {
    return new StepGrant(
        move.id(),
        step,
        shareCap(topology),
        move.highestShare(),
        report.epoch(),
        report.sequence());
  }

  /** Evaluates the evidence and decides whether to raise, hold or roll back the move. */
  Decision decide(MeshTopology topology, Instant now) {
    if (now.isBefore(nextEvaluation)) {
      return new Decision(MoveDecision.Kind.HOLD, "");
    }
    nextEvaluation = now.plus(EVALUATION_INTERVAL);
    Evidence total = evidence.total();
    slotDemand.update(evidence.regionTotal(locality.region()), now);
    adoptHighestStep(total, now);
    evaluation = evaluator.evaluate(total, step, now);
    if (evaluation.kind() == Evaluation.Kind.BAD) {
      return new Decision(MoveDecision.Kind.ROLL_BACK, evaluation.reason());
    }
    String holdReason = reasonToHold(topology, total, now);
    if (!now.isBefore(move.plan().decisionDeadline()) && !holdReason.isEmpty()) {
      return new Decision(MoveDecision.Kind.ROLL_BACK, "deadline reached; " + holdReason);
    }
    if (step == move.plan().lastStep()) {
      return new Decision(MoveDecision.Kind.HOLD, holdReason.isEmpty() ? "soaking" : holdReason);
    }
    if (!holdReason.isEmpty()) {
      return new Decision(MoveDecision.Kind.HOLD, holdReason);
    }
    enterStep(step + 1, total, now);
    return new Decision(MoveDecision.Kind.RAISE, evaluation.reason());
  }

  private String reasonToHold(MeshTopology topology, Evidence total, Instant now) {
    if (evaluation.kind() != Evaluation.Kind.UNSUSPICIOUS) {
      return "suspicious: " + evaluation.reason();
    }
    int next = Math.min(step + 1, move.plan().lastStep());
    if (shareCap(topology) < move.plan().share(next)) {
      return capacityReason(topology);
    }
    return step == next ? "" : reasonNotToRaise(next, topology, total, now);
  }

  private String reasonNotToRaise(int next, MeshTopology topology, Evidence total, Instant now) {
    MovePlan plan = move.plan();
    if (now.isBefore(plan.earliestStart(next)) || isWithinDwell(now)) {
      return "the schedule holds " + describeStep(step);
    }
    Set<String> silentInstances =
        evidence.instancesWithoutRecentReport(
            topology.localZoneInstances(), now, maxReportAge(topology));
    if (!silentInstances.isEmpty()) {
      return "no fresh report from " + silentInstances.iterator().next();
    }
    if (!evidence.allAtStep(topology.localZoneInstances(), step)
        || !evidence.zonesRecentlyAtStep(
            topology.otherZonesInRegion(), step, now, maxReportAge(topology))) {
      return "not all zones of the region are " + describeStep(step);
    }
    if (next == plan.lastStep() && isTooLateForSoak(plan, now)) {
      return "too late for the soak of " + plan.soak().toSeconds() + " s";
    }
    long calls = newCalls(total) - newCallsAtStepEntry;
    if (step >= 0
        && calls < settings.sufficientCallsPerStep()
        && now.isBefore(plan.latestStart(next))) {
      return "waiting for calls, " + calls + " of " + settings.sufficientCallsPerStep() + " seen";
    }
    return "";
  }

  /**
   * Returns whether too little time is left for the soak. A region that joined late may follow the
   * others to the last step without a whole soak of its own.
   */
  private boolean isTooLateForSoak(MovePlan plan, Instant now) {
    boolean otherZoneAtLastStep =
        evidence.reportingZones().stream()
            .anyMatch(zone -> evidence.zonesAtStep(List.of(zone), plan.lastStep()));
    return now.isAfter(plan.decisionDeadline().minus(plan.soak())) && !otherZoneAtLastStep;
  }

  private boolean isWithinDwell(Instant now) {
    return step >= 0 && Duration.between(stepEnteredAt, now).compareTo(move.plan().dwell()) < 0;
  }

  private static String describeStep(int step) {
    return step < 0 ? "before the first step" : "at step " + step;
  }

  private String capacityReason(MeshTopology topology) {
    return String.format(
        Locale.ROOT,
        "%d ready slots of the new version take a share of %.2f, %.1f slots are busy",
        topology.readySlots(move.id(), move.move()).newSlots(),
        shareCap(topology),
        slotDemand.busySlots());
  }

  /**
   * Returns whether all nodes of the zone have ended their soak. From then on the move may have
   * been stated as done, so this aggregator no longer rolls it back.
   */
  boolean isZoneClosed(MeshTopology topology) {
    zoneClosed = zoneClosed || evidence.allClosed(topology.localZoneInstances());
    return zoneClosed;
  }

  /** Returns whether every zone has ended its soak; zones lost past their timeout are ignored. */
  boolean isClosedEverywhere(MeshTopology topology, Instant now) {
    return isZoneClosed(topology) && unclosedZones(topology, now).isEmpty();
  }

  /** Returns the other zones whose soak has not ended, without those lost past their timeout. */
  List<Locality> unclosedZones(MeshTopology topology, Instant now) {
    return knownZones(topology).stream()
        .filter(zone -> topology.otherZones().contains(zone) || !isLost(zone, now))
        .filter(zone -> !evidence.isClosed(zone))
        .toList();
  }

  private boolean isLost(Locality zone, Instant now) {
    Duration timeout =
        zone.region().equals(locality.region())
            ? settings.lostZoneTimeout()
            : settings.lostRegionTimeout();
    return evidence.lastReportAt(zone).plus(timeout).isBefore(now);
  }

  private Collection<Locality> knownZones(MeshTopology topology) {
    return Stream.concat(topology.otherZones().stream(), evidence.reportingZones().stream())
        .distinct()
        .toList();
  }

  private Duration maxReportAge(MeshTopology topology) {
    return settings.maxReportAge(topology.localZoneInstances().size());
  }

  private void adoptHighestStep(Evidence total, Instant now) {
    int highestStep = Math.min(evidence.highestStep(locality.region()), move.plan().lastStep());
    if (highestStep > step) {
      enterStep(highestStep, total, now);
    }
  }

  private void enterStep(int newStep, Evidence total, Instant now) {
    step = newStep;
    stepEnteredAt = now;
    newCallsAtStepEntry = newCalls(total);
  }

  private static long newCalls(Evidence total) {
    return total.total(Side.NEW).calls();
  }

  private double shareCap(MeshTopology topology) {
    return topology.readySlots(move.id(), move.move()).shareCap(slotDemand.busySlots());
  }

  /** Returns the highest step that all live nodes of the zone have reported. */
  int reachedStep(MeshTopology topology) {
    if (step == MoveEvidence.NO_STEP || evidence.allAtStep(topology.localZoneInstances(), step)) {
      return step;
    }
    return step - 1;
  }

  NodeMove move() {
    return move;
  }

  Evaluation evaluation() {
    return evaluation;
  }

  AggregatedEvidence evidence() {
    return evidence;
  }
}
