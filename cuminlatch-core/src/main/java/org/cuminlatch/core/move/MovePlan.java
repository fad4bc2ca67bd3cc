package org.cuminlatch.core.move;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cuminlatch.core.config.Move;

/**
 * Schedule of a move, worked out from its record alone so that it needs no log to go on.
 *
 * <p>The ramp begins early and all the time that is left is the soak, which ends at {@link
 * #decideBy}. Step k may begin at {@link #earliest}, once the evidence suffices, and begins at
 * {@link #latest} without it.
 *
 * @param shares share of each step, rising, the last one 1
 * @param start when the first step may begin
 * @param dwell shortest time at a step
 * @param slack longest time at a step
 * @param soak shortest time for which the last step must hold
 * @param decideBy when the outcome must be decided
 */
public record MovePlan(
    List<Double> shares,
    Instant start,
    Duration dwell,
    Duration slack,
    Duration soak,
    Instant decideBy) {

  /** Shares of a move that names none. */
  public static final List<Double> DEFAULT_SHARES = List.of(0.01, 0.05, 0.2, 0.5, 1.0);

  /** Shortest time at a step that any plan may have. */
  public static final Duration MIN_DWELL = Duration.ofSeconds(2);

  /** Longest time for which a plan holds a step although the evidence suffices. */
  public static final Duration MAX_DWELL = Duration.ofMinutes(2);

  /** Largest part of the time before the deadline that is kept free for the statement. */
  public static final Duration MAX_MARGIN = Duration.ofSeconds(20);

  private static final int REGION_SLICES = 2;
  private static final int MARGIN_DIVISOR = 10;
  private static final int DWELL_DIVISOR = 3;

  /** Checks the fields and copies the shares. */
  public MovePlan {
    shares = List.copyOf(notNull(shares, "shares"));
    notNull(start, "start");
    notNull(dwell, "dwell");
    notNull(slack, "slack");
    notNull(soak, "soak");
    notNull(decideBy, "decideBy");
  }

  /**
   * Works out the schedule of a move.
   *
   * @param move a move that {@link MovePlanCheck} has found possible
   * @return the schedule
   */
  public static MovePlan of(Move move) {
    return scheduled(move, 1, 0);
  }

  /**
   * Works out the schedule of a move in one region.
   *
   * @param move a move that {@link MovePlanCheck} has found possible
   * @param regionIndex place of the region among all regions in the order of their names; when the
   *     regions move one after the other the first one takes the first half of the ramp
   * @return the schedule
   */
  public static MovePlan inRegion(Move move, int regionIndex) {
    return move.regionByRegion()
        ? scheduled(move, REGION_SLICES, Math.min(regionIndex, REGION_SLICES - 1))
        : scheduled(move, 1, 0);
  }

  private static MovePlan scheduled(Move move, int slices, int slice) {
    Duration length = Duration.between(move.start(), move.deadline());
    Duration margin = min(length.dividedBy(MARGIN_DIVISOR), MAX_MARGIN);
    Duration ramp = length.minus(margin).minus(move.soak());
    List<Double> shares = sharesOf(move);
    Duration part = max(ramp.dividedBy(slices), Duration.ZERO);
    Duration slack = part.dividedBy(shares.size());
    Duration dwell = max(min(slack.dividedBy(DWELL_DIVISOR), MAX_DWELL), min(slack, MIN_DWELL));
    return new MovePlan(
        shares,
        move.start().plus(part.multipliedBy(slice)),
        dwell,
        slack,
        move.soak(),
        move.deadline().minus(margin));
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
   * Returns when a step may begin at the earliest.
   *
   * @param step index of the step
   * @return the time
   */
  public Instant earliest(int step) {
    return start.plus(dwell.multipliedBy(step));
  }

  /**
   * Returns when a step begins although few calls have been seen.
   *
   * @param step index of the step
   * @return the time
   */
  public Instant latest(int step) {
    return start.plus(slack.multipliedBy(step));
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

  private static Duration min(Duration one, Duration other) {
    return one.compareTo(other) <= 0 ? one : other;
  }

  private static Duration max(Duration one, Duration other) {
    return one.compareTo(other) >= 0 ? one : other;
  }
}
