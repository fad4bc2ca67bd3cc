package org.cuminlatch.core.move;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.config.MoveState;
import org.cuminlatch.core.config.MoveStop;
import org.cuminlatch.core.move.EvidenceMessage.StepGrant;

/**
 * State of one open move on one node: the step that the node may use and its lease on that step.
 *
 * <p>A grant renews the lease as of the time at which this node, by its own clock, sent the report
 * that the grant responds to. When the lease expires the node falls back to the previous step,
 * whose evidence all zones have agreed on. After a pause the new version gets no calls until the
 * next grant.
 */
final class NodeMove {

  private final MoveId id;
  private Move move;
  private int regionIndex;
  private MovePlan plan;
  private Optional<MoveStop> stop = Optional.empty();
  private int step = MoveEvidence.NO_STEP;
  private double shareCap;
  private double highestShare;
  private Optional<Instant> leaseRenewedAt = Optional.empty();
  private boolean closed;
  private double share;

  NodeMove(MoveState state, int regionIndex) {
    this.id = MoveId.of(state.move());
    update(state, regionIndex);
  }

  /** Applies a changed plan or an operator's stop. */
  void update(MoveState state, int newRegionIndex) {
    stop = state.stop();
    if (!state.move().equals(move) || newRegionIndex != regionIndex) {
      move = state.move();
      regionIndex = newRegionIndex;
      plan = MovePlan.inRegion(move, newRegionIndex);
    }
  }

  /** Renews the lease as of the time at which the report was sent that the grant responds to. */
  void applyGrant(StepGrant grant, Instant reportSentAt) {
    raiseHighestShare(grant.highestShare());
    if (leaseRenewedAt.isPresent() && reportSentAt.isBefore(leaseRenewedAt.get())) {
      return;
    }
    step = Math.max(step, Math.min(grant.step(), plan.lastStep()));
    shareCap = grant.shareCap();
    leaseRenewedAt = Optional.of(reportSentAt);
  }

  /** Drops the lease, as after a pause. */
  void dropLease() {
    leaseRenewedAt = Optional.empty();
  }

  /** Computes the share of the new version and whether the soak has ended. */
  void refresh(boolean rolledBack, boolean hasReadySlots, Duration grantLifetime, Instant now) {
    boolean blocked = rolledBack || stop.isPresent() || !hasReadySlots;
    share = blocked ? 0 : Math.min(leasedShare(grantLifetime, now), shareCap);
    highestShare = Math.max(highestShare, share);
    closed = closed || (share >= 1 && !now.isBefore(plan.decisionDeadline()));
  }

  private double leasedShare(Duration grantLifetime, Instant now) {
    if (leaseRenewedAt.isEmpty() || now.isBefore(plan.start())) {
      return 0;
    }
    boolean leaseValid = Duration.between(leaseRenewedAt.get(), now).compareTo(grantLifetime) <= 0;
    return plan.share(leaseValid ? step : step - 1);
  }

  MoveEvidence evidence(List<EvidenceRow> rows) {
    return new MoveEvidence(id, step, highestShare, closed, rows);
  }

  void raiseHighestShare(double otherShare) {
    highestShare = Math.max(highestShare, otherShare);
  }

  MoveId id() {
    return id;
  }

  Move move() {
    return move;
  }

  MovePlan plan() {
    return plan;
  }

  Optional<MoveStop> stop() {
    return stop;
  }

  int step() {
    return step;
  }

  double share() {
    return share;
  }

  double highestShare() {
    return highestShare;
  }

  boolean closed() {
    return closed;
  }
}
