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
 * What one node knows of one open move: the step it may use and the proof that it still may.
 *
 * <p>A grant proves that the step was in order when the report that it answers was sent, by this
 * node's own clock. Without a fresh proof the node falls back to the step before, whose evidence
 * was agreed on; after a pause it gives the new version nothing until it is told again.
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
  private Optional<Instant> provenAt = Optional.empty();
  private boolean closed;
  private double share;

  NodeMove(MoveState state, int regionIndex) {
    this.id = MoveId.of(state.move());
    update(state, regionIndex);
  }

  /** Takes over a changed plan or an operator's stop. */
  void update(MoveState state, int index) {
    stop = state.stop();
    if (!state.move().equals(move) || index != regionIndex) {
      move = state.move();
      regionIndex = index;
      plan = MovePlan.inRegion(move, index);
    }
  }

  /** Takes a lease on a step that was granted in answer to a report sent at an instant. */
  void grant(StepGrant grant, Instant reportSentAt) {
    learnHighestShare(grant.highestShare());
    if (provenAt.isPresent() && reportSentAt.isBefore(provenAt.get())) {
      return;
    }
    step = Math.max(step, Math.min(grant.step(), plan.lastStep()));
    shareCap = grant.shareCap();
    provenAt = Optional.of(reportSentAt);
  }

  /** Forgets the lease, as after a pause. */
  void forgetProof() {
    provenAt = Optional.empty();
  }

  /** Works out the share of the new version and whether the soak has ended. */
  void refresh(boolean rolledBack, boolean hasReadySlots, Duration grantLifetime, Instant now) {
    boolean barred = rolledBack || stop.isPresent() || !hasReadySlots;
    share = barred ? 0 : Math.min(provenShare(grantLifetime, now), shareCap);
    highestShare = Math.max(highestShare, share);
    closed = closed || (share >= 1 && !now.isBefore(plan.decideBy()));
  }

  private double provenShare(Duration grantLifetime, Instant now) {
    if (provenAt.isEmpty() || now.isBefore(plan.start())) {
      return 0;
    }
    boolean fresh = Duration.between(provenAt.get(), now).compareTo(grantLifetime) <= 0;
    return plan.share(fresh ? step : step - 1);
  }

  MoveEvidence evidence(List<EvidenceRow> rows) {
    return new MoveEvidence(id, step, highestShare, closed, rows);
  }

  void learnHighestShare(double other) {
    highestShare = Math.max(highestShare, other);
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
