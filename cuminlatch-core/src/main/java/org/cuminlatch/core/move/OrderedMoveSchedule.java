package org.cuminlatch.core.move;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * Shares of the new version over the time of an ordered move.
 *
 * <p>The steps keep the calls that a bad version gets within the allowed part, provided that the
 * fault shows by the step at which a target carries its usual load. The old version keeps a few
 * calls for comparison until shortly before the end, when it must have none in progress.
 */
final class OrderedMoveSchedule {

  /** Steps, each with its start as a fraction of the time to the deadline and its share. */
  private static final List<Step> STEPS =
      List.of(
          new Step(0, 0.04),
          new Step(0.30, 0.12),
          new Step(0.45, 0.3),
          new Step(0.57, 0.6),
          new Step(0.67, 0.95),
          new Step(0.78, 1));

  /** Fraction of the time to the deadline after which a move that was not found bad is complete. */
  private static final double COMPLETION_FRACTION = 0.86;

  private OrderedMoveSchedule() {}

  static int stepAt(Duration elapsed, Duration length) {
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

  /** Returns the schedule in the form that the evaluation of the evidence takes. */
  static MovePlan plan(Instant start, Duration length) {
    List<Double> shares = STEPS.stream().map(Step::share).toList();
    Duration stepLength = length.dividedBy(STEPS.size());
    return new MovePlan(shares, start, stepLength, stepLength, Duration.ZERO, start.plus(length));
  }

  private static double fraction(Duration elapsed, Duration length) {
    return length.isZero() ? 1 : (double) elapsed.toNanos() / length.toNanos();
  }

  private record Step(double startFraction, double share) {}
}
