package org.cuminlatch.core.move;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.cuminlatch.core.config.Move;

/** Tells whether the plan of a move is possible; pure, so that every node answers the same. */
public final class MovePlanCheck {

  /** Largest number of steps that a plan may have. */
  public static final int MAX_STEPS = 20;

  private MovePlanCheck() {}

  /**
   * Looks for a reason why a move can't be carried out as it is written.
   *
   * @param move the move
   * @return the reason, empty if the plan is possible
   */
  public static Optional<String> reasonAgainst(Move move) {
    if (move.from().equals(move.to())) {
      return Optional.of("from and to are the same version \"" + move.from() + "\"");
    }
    if (!move.deadline().isAfter(move.start())) {
      return Optional.of("the deadline " + move.deadline() + " is not after the start");
    }
    Optional<String> steps = reasonAgainstSteps(move.steps());
    return steps.isPresent() ? steps : reasonAgainstDeadline(move);
  }

  /**
   * Looks for a reason why a running move can't be changed to another record of its name.
   *
   * @param running the move as it runs
   * @param changed the move as it is to be; only deadline and soak may differ
   * @return the reason, empty if the change is possible
   */
  public static Optional<String> reasonAgainstChange(Move running, Move changed) {
    boolean onlyTimesDiffer =
        running.service().equals(changed.service())
            && running.route().equals(changed.route())
            && running.from().equals(changed.from())
            && running.to().equals(changed.to())
            && running.start().equals(changed.start())
            && running.steps().equals(changed.steps())
            && running.regionByRegion() == changed.regionByRegion();
    if (!onlyTimesDiffer) {
      return Optional.of("only the deadline and the soak of a running move can change");
    }
    return reasonAgainst(changed);
  }

  private static Optional<String> reasonAgainstSteps(List<Double> steps) {
    if (steps.size() > MAX_STEPS) {
      return Optional.of("a plan has at most " + MAX_STEPS + " steps but has " + steps.size());
    }
    double previous = 0;
    for (double share : steps) {
      if (!(share > previous)) {
        return Optional.of("the steps must rise from above 0 but are " + steps);
      }
      previous = share;
    }
    return Optional.empty();
  }

  private static Optional<String> reasonAgainstDeadline(Move move) {
    MovePlan plan = MovePlan.inRegion(move, 0);
    if (plan.stepInterval().compareTo(MovePlan.MIN_DWELL) >= 0) {
      return Optional.empty();
    }
    Duration length = Duration.between(move.start(), move.deadline());
    return Optional.of(
        "the deadline is impossible: "
            + plan.shares().size()
            + " steps of at least "
            + MovePlan.MIN_DWELL.toSeconds()
            + " s and a soak of "
            + move.soak().toSeconds()
            + " s do not fit into "
            + length.toSeconds()
            + " s");
  }
}
