package org.cuminlatch.core.move;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * Shares of the new version over the time of an ordered move.
 *
 * <p>A bad version gets less than the part of the calls that it may, as long as its badness shows
 * by the step at which a target carries its usual load. The old version keeps a few calls for
 * comparison until shortly before the end, when it must have none under way.
 */
final class OrderedMoveSchedule {

  /** Part of the time to the deadline at which each step begins, and its share. */
  private static final List<Step> STEPS =
      List.of(
          new Step(0, 0.04),
          new Step(0.30, 0.12),
          new Step(0.45, 0.3),
          new Step(0.57, 0.6),
          new Step(0.67, 0.95),
          new Step(0.78, 1));

  /** Part of the time to the deadline at which a move without badness is complete. */
  private static final double COMPLETION_FRACTION = 0.86;

  private OrderedMoveSchedule() {}

  static int step(Duration elapsed, Duration length) {
    double fraction = fraction(elapsed, length);
    int step = 0;
    while (step + 1 < STEPS.size() && fraction >= STEPS.get(step + 1).startFraction()) {
      step++;
    }
    return step;
  }

  static double share(int step) {
    return STEPS.get(step).share();
  }

  static boolean isComplete(Duration elapsed, Duration length) {
    return fraction(elapsed, length) >= COMPLETION_FRACTION;
  }

  /** Returns the plan that a judge of the move works with. */
  static MovePlan plan(Instant start, Duration length) {
    List<Double> shares = STEPS.stream().map(Step::share).toList();
    Duration fraction = length.dividedBy(STEPS.size());
    return new MovePlan(shares, start, fraction, fraction, Duration.ZERO, start.plus(length));
  }

  private static double fraction(Duration elapsed, Duration length) {
    return length.isZero() ? 1 : (double) elapsed.toNanos() / length.toNanos();
  }

  private record Step(double startFraction, double share) {}
}
