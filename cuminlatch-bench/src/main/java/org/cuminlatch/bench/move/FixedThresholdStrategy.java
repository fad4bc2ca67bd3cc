package org.cuminlatch.bench.move;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.config.MoveOutcome;
import org.cuminlatch.core.move.CallOutcome;

/**
 * Baseline that raises the share of the new version at fixed times and rolls back when its failure
 * ratio exceeds a fixed limit. The limit is evaluated at fixed intervals over the calls at all
 * nodes. With a single share of 1 it is a blue-green switch.
 */
final class FixedThresholdStrategy implements MoveStrategy {

  private static final double MAX_FAILURE_RATIO = 0.05;
  private static final Duration EVALUATION_INTERVAL = Duration.ofSeconds(10);

  private final Move move;
  private final List<Double> shares;
  private final int nodes;
  private int step;
  private boolean started;
  private long calls;
  private long failures;
  private Instant nextEvaluation;
  private Optional<MoveOutcome> outcome = Optional.empty();

  FixedThresholdStrategy(Move move, List<Double> shares, int nodes) {
    this.move = move;
    this.shares = shares;
    this.nodes = nodes;
    this.nextEvaluation = move.start().plus(EVALUATION_INTERVAL);
  }

  @Override
  public int nodes() {
    return nodes;
  }

  @Override
  public boolean isUp(int node) {
    return true;
  }

  @Override
  public double newVersionShare(int node) {
    if (outcome.isPresent()) {
      return outcome.get().result() == MoveOutcome.Result.DONE ? 1 : 0;
    }
    return started ? shares.get(step) : 0;
  }

  @Override
  public void recordCall(int node, CallOutcome call) {
    boolean countable =
        call.result() == CallOutcome.Result.SUCCESS || call.result() == CallOutcome.Result.FAILURE;
    if (call.version().equals(move.to()) && countable) {
      calls++;
      failures += call.result() == CallOutcome.Result.FAILURE ? 1 : 0;
    }
  }

  @Override
  public void tick(Instant now) {
    started = !now.isBefore(move.start());
    if (outcome.isPresent() || now.isBefore(nextEvaluation)) {
      return;
    }
    nextEvaluation = nextEvaluation.plus(EVALUATION_INTERVAL);
    boolean aboveThreshold = calls > 0 && failures > MAX_FAILURE_RATIO * calls;
    calls = 0;
    failures = 0;
    Duration rampDuration = Duration.between(move.start(), move.deadline()).minus(move.soak());
    Duration elapsed = Duration.between(move.start(), now);
    if (aboveThreshold) {
      decide(MoveOutcome.Result.ROLLED_BACK, now);
    } else if (!now.isBefore(move.deadline())) {
      decide(MoveOutcome.Result.DONE, now);
    }
    long stepByTime = elapsed.toMillis() * shares.size() / rampDuration.toMillis();
    step = (int) Math.min(shares.size() - 1L, stepByTime);
  }

  private void decide(MoveOutcome.Result result, Instant now) {
    outcome = Optional.of(new MoveOutcome(move.name(), result, "threshold", now, shares.get(step)));
  }

  @Override
  public Optional<MoveOutcome> outcome() {
    return outcome;
  }

  @Override
  public long evidenceBytes() {
    return 0;
  }
}
