package org.cuminlatch.core.move;

import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.Set;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.move.EvidenceMessage.NodeReport;
import org.cuminlatch.core.move.EvidenceMessage.ZoneReport;
import org.cuminlatch.core.move.EvidenceRow.Side;

/**
 * Judges one move on behalf of a zone.
 *
 * <p>It raises its region by one step at a time, and only when every live node of its zone and
 * every other zone of its region has lately reported to be at the step before. Two aggregators that
 * don't know of each other can therefore grant the same step but can't skip one between them.
 */
final class MoveAggregator {

  private final String region;
  private final MoveSettings settings;
  private final ZoneEvidence evidence = new ZoneEvidence();
  private final DemandMeter demand = new DemandMeter();
  private Judge judge;
  private Verdict verdict = new Verdict(Verdict.Kind.UNSUSPICIOUS, "no calls yet");
  private int step = MoveEvidence.NO_STEP;
  private Instant stepSince;
  private long newCallsAtStep;

  MoveAggregator(String region, MovePlan plan, MoveSettings settings) {
    this.region = region;
    this.settings = settings;
    this.judge = new Judge(plan, settings.falseRollbackRate());
  }

  /** What an aggregator sees of the mesh when it decides. */
  record Surroundings(
      Set<String> zoneNodes, Set<Locality> regionZones, ReadySlots slots, Duration freshWithin) {}

  /** What an aggregator decides: a step to grant, or a rollback, with the reason. */
  record Decision(MoveDecision.Kind kind, int step, String reason) {}

  void accept(NodeReport report, MoveEvidence move, Instant now) {
    evidence.accept(report, move, now);
  }

  void accept(ZoneReport report, Instant now) {
    evidence.accept(report, now);
  }

  void resumeAfterPause(Instant now) {
    evidence.forgetFreshness();
    stepSince = now;
  }

  /** Looks at the evidence and decides. */
  Decision decide(MovePlan plan, Surroundings around, Instant now) {
    Evidence total = evidence.total();
    demand.look(evidence.regionTotal(region), now);
    learnStep(total, now);
    verdict = judge.look(total, step, now);
    if (verdict.kind() == Verdict.Kind.BAD) {
      return new Decision(MoveDecision.Kind.ROLL_BACK, step, verdict.reason());
    }
    if (step < plan.lastStep()) {
      return decideRaise(plan, around, total, now);
    }
    if (!now.isBefore(plan.decideBy()) && shareCap(around) < 1) {
      return new Decision(
          MoveDecision.Kind.ROLL_BACK, step, "deadline reached; " + capacity(around));
    }
    return new Decision(MoveDecision.Kind.HOLD, step, "soaking; " + verdict.reason());
  }

  private Decision decideRaise(MovePlan plan, Surroundings around, Evidence total, Instant now) {
    String obstacle = obstacle(plan, around, total, now);
    if (obstacle.isEmpty()) {
      enter(step + 1, total, now);
      return new Decision(MoveDecision.Kind.RAISE, step, verdict.reason());
    }
    if (!now.isBefore(plan.decideBy())) {
      return new Decision(
          MoveDecision.Kind.ROLL_BACK, step, "deadline reached before the last step; " + obstacle);
    }
    return new Decision(MoveDecision.Kind.HOLD, step, obstacle);
  }

  private String obstacle(MovePlan plan, Surroundings around, Evidence total, Instant now) {
    int next = step + 1;
    if (now.isBefore(plan.earliest(next)) || (step >= 0 && stayed(now) < plan.dwell().toMillis())) {
      return "the schedule holds step " + step;
    }
    if (verdict.kind() != Verdict.Kind.UNSUSPICIOUS) {
      return "suspicious: " + verdict.reason();
    }
    if (shareCap(around) < plan.share(next)) {
      return capacity(around);
    }
    if (!evidence.allHeard(around.zoneNodes(), now, around.freshWithin())) {
      return "not all nodes of the zone have reported";
    }
    if (!evidence.allAtStep(around.zoneNodes(), step)
        || !evidence.zonesAgree(around.regionZones(), step, now, around.freshWithin())) {
      return "not all zones of the region are at step " + step;
    }
    long calls = newCalls(total) - newCallsAtStep;
    if (step >= 0 && calls < settings.sufficientCalls() && now.isBefore(plan.latest(next))) {
      return "waiting for calls, " + calls + " of " + settings.sufficientCalls() + " seen";
    }
    return "";
  }

  private String capacity(Surroundings around) {
    return String.format(
        Locale.ROOT,
        "%d ready slots of the new version take a share of %.2f, %.1f slots are busy",
        around.slots().fresh(),
        shareCap(around),
        demand.slots());
  }

  private void learnStep(Evidence total, Instant now) {
    int known = Math.max(evidence.highestStep(region), evidence.highestNodeStep());
    if (known > step) {
      enter(known, total, now);
    }
  }

  private void enter(int entered, Evidence total, Instant now) {
    step = entered;
    stepSince = now;
    newCallsAtStep = newCalls(total);
  }

  private long stayed(Instant now) {
    return Duration.between(stepSince, now).toMillis();
  }

  private static long newCalls(Evidence total) {
    return total.total(Side.NEW).calls();
  }

  double shareCap(Surroundings around) {
    return around.slots().shareCap(demand.slots());
  }

  int step() {
    return step;
  }

  Verdict verdict() {
    return verdict;
  }

  ZoneEvidence evidence() {
    return evidence;
  }
}
