package org.cuminlatch.core.move;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.cuminlatch.core.config.Move;

/** Validates the plan of a move. The result depends on the move alone, so all nodes agree on it. */
public final class MovePlanValidator {

  /** Maximum number of steps in a plan. */
  public static final int MAX_STEPS = 20;

  private MovePlanValidator() {}

  /**
   * Returns why a move can't be carried out as recorded.
   *
   * @param move the move
   * @return the reason, empty if the plan is valid
   */
  public static Optional<String> findProblem(Move move) {
    if (move.from().equals(move.to())) {
      return Optional.of("from and to are the same version \"" + move.from() + "\"");
    }
    if (!move.deadline().isAfter(move.start())) {
      return Optional.of("the deadline " + move.deadline() + " is not after the start");
    }
    Optional<String> steps = findProblemWithSteps(move.steps());
    return steps.isPresent() ? steps : findProblemWithDeadline(move);
  }

  /**
   * Returns why a running move can't be changed to another record of its name.
   *
   * @param running the running move
   * @param changed the changed move; only its deadline and soak may differ
   * @return the reason, empty if the change is valid
   */
  public static Optional<String> findProblemWithChange(Move running, Move changed) {
    boolean onlyDeadlineOrSoakDiffers =
        running.service().equals(changed.service())
            && running.route().equals(changed.route())
            && running.from().equals(changed.from())
            && running.to().equals(changed.to())
            && running.start().equals(changed.start())
            && running.steps().equals(changed.steps())
            && running.regionByRegion() == changed.regionByRegion();
    if (!onlyDeadlineOrSoakDiffers) {
      return Optional.of("only the deadline and the soak of a running move can change");
    }
    return findProblem(changed);
  }

  private static Optional<String> findProblemWithSteps(List<Double> steps) {
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

  private static Optional<String> findProblemWithDeadline(Move move) {
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
