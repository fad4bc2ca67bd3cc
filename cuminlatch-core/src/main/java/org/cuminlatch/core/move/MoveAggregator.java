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
 * Judges one move on behalf of a zone.
 *
 * <p>It raises its region by one step at a time, and only when every live node of its zone and
 * every other zone of its region has lately reported to be at the step before. Two aggregators that
 * don't know of each other can therefore grant the same step but can't skip one between them. After
 * its start or a pause it grants nothing before it has heard every live node of its zone, since any
 * of them may know of a rollback.
 */
final class MoveAggregator {

  private static final Duration LOOK_INTERVAL = Duration.ofMillis(500);

  private final NodeMove move;
  private final Locality locality;
  private final MoveSettings settings;
  private final AggregatedEvidence evidence = new AggregatedEvidence();
  private final SlotDemandEstimator demand = new SlotDemandEstimator();
  private final Judge judge;
  private Verdict verdict = Verdict.NONE;
  private int step = MoveEvidence.NO_STEP;
  private boolean warm;
  private boolean zoneClosed;
  private Instant stepSince = Instant.MIN;
  private Instant nextLook = Instant.MIN;
  private long newCallsAtStep;

  MoveAggregator(NodeMove move, Locality locality, MoveSettings settings) {
    this.move = move;
    this.locality = locality;
    this.settings = settings;
    this.judge = new Judge(move.plan(), settings.falseRollbackRate());
  }

  /** What an aggregator decides, with the reason. */
  record Decision(MoveDecision.Kind kind, String reason) {}

  void accept(NodeReport report, MoveEvidence reported, Instant now) {
    evidence.accept(report, reported, now);
  }

  void accept(ZoneReport report, Instant now) {
    evidence.accept(report, now);
  }

  void resumeAfterPause(Instant now) {
    evidence.forgetFreshness();
    warm = false;
    stepSince = now;
  }

  /** Returns whether every live node of the zone has been heard since the start or a pause. */
  boolean isWarm(MeshTopology sight, Instant now) {
    warm = warm || evidence.unheard(sight.zoneNodes(), now, freshWithin(sight)).isEmpty();
    return warm;
  }

  StepGrant grantFor(NodeReport report, MeshTopology sight) {
    return new StepGrant(
        move.id(), step, shareCap(sight), move.highestShare(), report.epoch(), report.sequence());
  }

  /** Looks at the evidence and decides. */
  Decision decide(MeshTopology sight, Instant now) {
    if (now.isBefore(nextLook)) {
      return new Decision(MoveDecision.Kind.HOLD, "");
    }
    nextLook = now.plus(LOOK_INTERVAL);
    Evidence total = evidence.total();
    demand.look(evidence.regionTotal(locality.region()), now);
    learnStep(total, now);
    verdict = judge.look(total, step, now);
    if (verdict.kind() == Verdict.Kind.BAD) {
      return new Decision(MoveDecision.Kind.ROLL_BACK, verdict.reason());
    }
    String obstacle = obstacle(sight, total, now);
    if (!now.isBefore(move.plan().decideBy()) && !obstacle.isEmpty()) {
      return new Decision(MoveDecision.Kind.ROLL_BACK, "deadline reached; " + obstacle);
    }
    if (step == move.plan().lastStep()) {
      return new Decision(MoveDecision.Kind.HOLD, obstacle.isEmpty() ? "soaking" : obstacle);
    }
    if (!obstacle.isEmpty()) {
      return new Decision(MoveDecision.Kind.HOLD, obstacle);
    }
    enter(step + 1, total, now);
    return new Decision(MoveDecision.Kind.RAISE, verdict.reason());
  }

  private String obstacle(MeshTopology sight, Evidence total, Instant now) {
    if (verdict.kind() != Verdict.Kind.UNSUSPICIOUS) {
      return "suspicious: " + verdict.reason();
    }
    int next = Math.min(step + 1, move.plan().lastStep());
    if (shareCap(sight) < move.plan().share(next)) {
      return capacity(sight);
    }
    return step == next ? "" : obstacleToRaise(next, sight, total, now);
  }

  private String obstacleToRaise(int next, MeshTopology sight, Evidence total, Instant now) {
    MovePlan plan = move.plan();
    if (now.isBefore(plan.earliest(next)) || hasJustEntered(now)) {
      return "the schedule holds " + at(step);
    }
    Set<String> unheard = evidence.unheard(sight.zoneNodes(), now, freshWithin(sight));
    if (!unheard.isEmpty()) {
      return "no fresh report from " + unheard.iterator().next();
    }
    if (!evidence.allAtStep(sight.zoneNodes(), step)
        || !evidence.zonesAgree(sight.regionZones(), step, now, freshWithin(sight))) {
      return "not all zones of the region are " + at(step);
    }
    if (next == plan.lastStep() && isTooLateForSoak(plan, now)) {
      return "too late for the soak of " + plan.soak().toSeconds() + " s";
    }
    long calls = newCalls(total) - newCallsAtStep;
    if (step >= 0 && calls < settings.sufficientCalls() && now.isBefore(plan.latest(next))) {
      return "waiting for calls, " + calls + " of " + settings.sufficientCalls() + " seen";
    }
    return "";
  }

  /** A region that joined late may follow the others without a whole soak of its own. */
  private boolean isTooLateForSoak(MovePlan plan, Instant now) {
    boolean followsOthers =
        evidence.zonesHeard().stream()
            .anyMatch(zone -> evidence.zonesAtStep(List.of(zone), plan.lastStep()));
    return now.isAfter(plan.decideBy().minus(plan.soak())) && !followsOthers;
  }

  private boolean hasJustEntered(Instant now) {
    return step >= 0 && Duration.between(stepSince, now).compareTo(move.plan().dwell()) < 0;
  }

  private static String at(int step) {
    return step < 0 ? "before the first step" : "at step " + step;
  }

  private String capacity(MeshTopology sight) {
    return String.format(
        Locale.ROOT,
        "%d ready slots of the new version take a share of %.2f, %.1f slots are busy",
        sight.slots(move.id(), move.move()).fresh(),
        shareCap(sight),
        demand.slots());
  }

  /**
   * Returns whether the whole zone has ended its soak, from when on it may have been said to be
   * done and this aggregator rolls back no more.
   */
  boolean isZoneClosed(MeshTopology sight) {
    zoneClosed = zoneClosed || evidence.allClosed(sight.zoneNodes());
    return zoneClosed;
  }

  /** Returns whether every zone has ended its soak; a zone lost for long is left out. */
  boolean isClosedEverywhere(MeshTopology sight, Instant now) {
    return isZoneClosed(sight) && unclosedZones(sight, now).isEmpty();
  }

  /** Returns the other zones whose soak has not ended yet, as far as they are waited for. */
  List<Locality> unclosedZones(MeshTopology sight, Instant now) {
    return zones(sight).stream()
        .filter(zone -> sight.otherZones().contains(zone) || !isLost(zone, now))
        .filter(zone -> !evidence.isClosed(zone))
        .toList();
  }

  private boolean isLost(Locality zone, Instant now) {
    Duration limit =
        zone.region().equals(locality.region())
            ? settings.lostZoneLimit()
            : settings.lostRegionLimit();
    return evidence.heardOf(zone).plus(limit).isBefore(now);
  }

  private Collection<Locality> zones(MeshTopology sight) {
    return Stream.concat(sight.otherZones().stream(), evidence.zonesHeard().stream())
        .distinct()
        .toList();
  }

  private Duration freshWithin(MeshTopology sight) {
    return settings.freshWithin(sight.zoneNodes().size());
  }

  private void learnStep(Evidence total, Instant now) {
    int known = Math.min(evidence.highestStep(locality.region()), move.plan().lastStep());
    if (known > step) {
      enter(known, total, now);
    }
  }

  private void enter(int entered, Evidence total, Instant now) {
    step = entered;
    stepSince = now;
    newCallsAtStep = newCalls(total);
  }

  private static long newCalls(Evidence total) {
    return total.total(Side.NEW).calls();
  }

  private double shareCap(MeshTopology sight) {
    return sight.slots(move.id(), move.move()).shareCap(demand.slots());
  }

  /** Returns the highest step that all live nodes of the zone are known to have reached. */
  int reachedStep(MeshTopology sight) {
    if (step == MoveEvidence.NO_STEP || evidence.allAtStep(sight.zoneNodes(), step)) {
      return step;
    }
    return step - 1;
  }

  NodeMove move() {
    return move;
  }

  Verdict verdict() {
    return verdict;
  }

  AggregatedEvidence evidence() {
    return evidence;
  }
}
