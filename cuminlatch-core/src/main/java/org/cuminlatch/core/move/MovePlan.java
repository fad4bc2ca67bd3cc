package org.cuminlatch.core.move;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cuminlatch.core.config.Move;

/**
 * Schedule of a move.
 *
 * <p>It is computed from the move's record alone, so a move goes on while the platform's log is not
 * available. The steps are taken as early as possible; the remaining time is the soak, which ends
 * at {@link #decisionDeadline}. A step may begin at {@link #earliestStart} if there is sufficient
 * evidence, and at {@link #latestStart} without it.
 *
 * @param shares share of each step, rising, the last one 1
 * @param start when the first step may begin
 * @param dwell minimum time at a step
 * @param stepInterval time per step when steps are taken at their latest start
 * @param soak minimum time at the last step
 * @param decisionDeadline time by which the outcome must be decided
 */
public record MovePlan(
    List<Double> shares,
    Instant start,
    Duration dwell,
    Duration stepInterval,
    Duration soak,
    Instant decisionDeadline) {

  /** Shares of a move whose record gives no steps. */
  public static final List<Double> DEFAULT_SHARES = List.of(0.01, 0.05, 0.2, 0.5, 1.0);

  /** Lower bound on the time per step; a move that needs less is rejected. */
  public static final Duration MIN_DWELL = Duration.ofSeconds(2);

  /** Upper bound on the time at a step that a plan requires when the evidence suffices. */
  public static final Duration MAX_DWELL = Duration.ofMinutes(2);

  /** Upper bound on the time before the deadline that is reserved for stating the outcome. */
  public static final Duration MAX_STATEMENT_MARGIN = Duration.ofSeconds(20);

  private static final int MAX_REGION_SLICES = 2;
  private static final int STATEMENT_MARGIN_DIVISOR = 10;
  private static final int DWELL_DIVISOR = 3;

  /** Validates the components and copies the shares. */
  public MovePlan {
    shares = List.copyOf(notNull(shares, "shares"));
    notNull(start, "start");
    notNull(dwell, "dwell");
    notNull(stepInterval, "stepInterval");
    notNull(soak, "soak");
    notNull(decisionDeadline, "decisionDeadline");
  }

  /**
   * Computes the schedule of a move.
   *
   * @param move a move that {@link MovePlanValidator} accepts
   * @return the schedule
   */
  public static MovePlan of(Move move) {
    return planSlice(move, 1, 0);
  }

  /**
   * Computes the schedule of a move in one region.
   *
   * @param move a move that {@link MovePlanValidator} accepts
   * @param regionIndex index of the region among all regions, sorted by name; in a move region by
   *     region the first one takes the first half of the time for the steps
   * @return the schedule
   */
  public static MovePlan inRegion(Move move, int regionIndex) {
    return move.regionByRegion()
        ? planSlice(move, MAX_REGION_SLICES, Math.min(regionIndex, MAX_REGION_SLICES - 1))
        : planSlice(move, 1, 0);
  }

  private static MovePlan planSlice(Move move, int slices, int slice) {
    Duration length = Duration.between(move.start(), move.deadline());
    Duration statementMargin =
        min(length.dividedBy(STATEMENT_MARGIN_DIVISOR), MAX_STATEMENT_MARGIN);
    Duration ramp = length.minus(statementMargin).minus(move.soak());
    List<Double> shares = sharesOf(move);
    Duration sliceLength = max(ramp.dividedBy(slices), Duration.ZERO);
    Duration stepInterval = sliceLength.dividedBy(shares.size());
    Duration dwell =
        max(min(stepInterval.dividedBy(DWELL_DIVISOR), MAX_DWELL), min(stepInterval, MIN_DWELL));
    return new MovePlan(
        shares,
        move.start().plus(sliceLength.multipliedBy(slice)),
        dwell,
        stepInterval,
        move.soak(),
        move.deadline().minus(statementMargin));
  }

  /**
   * Returns the index of the last step.
   *
   * @return the index
   */
  public int lastStep() {
    return shares.size() - 1;
  }

  /**
   * Returns the share of a step.
   *
   * @param step index of the step
   * @return the share, 0 before the first step
   */
  public double share(int step) {
    return step < 0 ? 0 : shares.get(Math.min(step, lastStep()));
  }

  /**
   * Returns the time at which a step may begin if there is sufficient evidence.
   *
   * @param step index of the step
   * @return the time
   */
  public Instant earliestStart(int step) {
    return start.plus(dwell.multipliedBy(step));
  }

  /**
   * Returns the time at which a step may begin regardless of the number of calls.
   *
   * @param step index of the step
   * @return the time
   */
  public Instant latestStart(int step) {
    return start.plus(stepInterval.multipliedBy(step));
  }

  private static List<Double> sharesOf(Move move) {
    if (move.steps().isEmpty()) {
      return DEFAULT_SHARES;
    }
    List<Double> shares = new ArrayList<>(move.steps());
    if (shares.get(shares.size() - 1) < 1) {
      shares.add(1.0);
    }
    return shares;
  }

  private static Duration min(Duration first, Duration second) {
    return first.compareTo(second) <= 0 ? first : second;
  }

  private static Duration max(Duration first, Duration second) {
    return first.compareTo(second) >= 0 ? first : second;
  }
}
