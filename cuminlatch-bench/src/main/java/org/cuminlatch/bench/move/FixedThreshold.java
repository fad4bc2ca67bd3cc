package org.cuminlatch.bench.move;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.config.MoveOutcome;
import org.cuminlatch.core.move.CallOutcome;

/**
 * Baseline: shares at fixed times and a fixed limit on the failures of the new version, looked at
 * at fixed intervals with all calls at hand. With one share of 1 it is a blue-green switch.
 */
final class FixedThreshold implements TrafficControl {

  private static final double MOST_FAILURES = 0.05;
  private static final Duration LOOK_INTERVAL = Duration.ofSeconds(10);

  private final Move move;
  private final List<Double> shares;
  private final int nodes;
  private int step;
  private boolean started;
  private long calls;
  private long failures;
  private Instant nextLook;
  private Optional<MoveOutcome> outcome = Optional.empty();

  FixedThreshold(Move move, List<Double> shares, int nodes) {
    this.move = move;
    this.shares = shares;
    this.nodes = nodes;
    this.nextLook = move.start().plus(LOOK_INTERVAL);
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
  public double newShare(int node) {
    if (outcome.isPresent()) {
      return outcome.get().result() == MoveOutcome.Result.DONE ? 1 : 0;
    }
    return started ? shares.get(step) : 0;
  }

  @Override
  public void observed(int node, CallOutcome call) {
    boolean counts =
        call.result() == CallOutcome.Result.SUCCESS || call.result() == CallOutcome.Result.FAILURE;
    if (call.version().equals(move.to()) && counts) {
      calls++;
      failures += call.result() == CallOutcome.Result.FAILURE ? 1 : 0;
    }
  }

  @Override
  public void tick(Instant now) {
    started = !now.isBefore(move.start());
    if (outcome.isPresent() || now.isBefore(nextLook)) {
      return;
    }
    nextLook = nextLook.plus(LOOK_INTERVAL);
    boolean bad = calls > 0 && failures > MOST_FAILURES * calls;
    calls = 0;
    failures = 0;
    Duration ramp = Duration.between(move.start(), move.deadline()).minus(move.soak());
    Duration passed = Duration.between(move.start(), now);
    if (bad) {
      state(MoveOutcome.Result.ROLLED_BACK, now);
    } else if (!now.isBefore(move.deadline())) {
      state(MoveOutcome.Result.DONE, now);
    }
    long reached = passed.toMillis() * shares.size() / ramp.toMillis();
    step = (int) Math.min(shares.size() - 1L, reached);
  }

  private void state(MoveOutcome.Result result, Instant now) {
    outcome = Optional.of(new MoveOutcome(move.name(), result, "threshold", now, shares.get(step)));
  }

  @Override
  public Optional<MoveOutcome> outcome() {
    return outcome;
  }

  @Override
  public long bytes() {
    return 0;
  }
}
