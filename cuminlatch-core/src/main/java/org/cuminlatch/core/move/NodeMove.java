package org.cuminlatch.core.move;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.config.MoveState;
import org.cuminlatch.core.config.MoveStop;

/** What one node knows of one open move: the step it may use and the proof that it still may. */
final class NodeMove {

  private final MoveId id;
  private final MoveSettings settings;
  private Move move;
  private MovePlan plan;
  private Optional<MoveStop> stop = Optional.empty();
  private int step = MoveEvidence.NO_STEP;
  private double shareCap;
  private double highestShare;
  private Optional<Instant> provenAt = Optional.empty();
  private Optional<Instant> wholeSince = Optional.empty();
  private boolean closed;
  private double share;

  NodeMove(MoveState state, MoveSettings settings) {
    this.id = MoveId.of(state.move());
    this.settings = settings;
    update(state);
  }

  /** Takes over a changed plan or an operator's stop. */
  void update(MoveState state) {
    stop = state.stop();
    if (!state.move().equals(move)) {
      move = state.move();
      plan = MovePlan.of(move);
    }
  }

  /** Takes leave to use a step that was given in answer to a report sent at an instant. */
  void grant(int grantedStep, double cap, Instant reportSentAt) {
    if (provenAt.isPresent() && reportSentAt.isBefore(provenAt.get())) {
      return;
    }
    step = Math.max(step, Math.min(grantedStep, plan.lastStep()));
    shareCap = cap;
    provenAt = Optional.of(reportSentAt);
  }

  /** Forgets the leave, as after a pause. */
  void forgetProof() {
    provenAt = Optional.empty();
    wholeSince = Optional.empty();
  }

  /** Works out the share of the new version and whether the soak has ended. */
  void refresh(boolean rolledBack, boolean hasReadySlots, Instant now) {
    share = rolledBack || stopped() || !hasReadySlots ? 0 : Math.min(provenShare(now), shareCap);
    highestShare = Math.max(highestShare, share);
    if (share < 1) {
      wholeSince = Optional.empty();
      return;
    }
    if (wholeSince.isEmpty()) {
      wholeSince = Optional.of(now);
    }
    closed = closed || soakHasEnded(wholeSince.get(), now);
  }

  private double provenShare(Instant now) {
    if (provenAt.isEmpty() || now.isBefore(plan.start())) {
      return 0;
    }
    boolean fresh = Duration.between(provenAt.get(), now).compareTo(settings.grantLifetime()) <= 0;
    return plan.share(fresh ? step : step - 1);
  }

  private boolean soakHasEnded(Instant since, Instant now) {
    if (!now.isBefore(plan.decideBy())) {
      return true;
    }
    return !plan.soak().isZero() && !now.isBefore(since.plus(plan.soak()));
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

  boolean stopped() {
    return stop.isPresent();
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
