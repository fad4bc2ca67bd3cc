package org.cuminlatch.core.move;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cuminlatch.core.move.EvidenceRow.Side;
import org.cuminlatch.core.move.MoveStatement.State;
import org.cuminlatch.core.route.VersionRule;
import org.cuminlatch.core.route.VersionRule.Fallback;

/**
 * State of the latest ordered move of a service on one node.
 *
 * <p>The share rises with the time since the order. A node that finds the version bad sets its
 * share to 0 at once; a final state from the store takes precedence over that. Not thread-safe.
 */
public final class OrderedMove {

  /** Upper bound on the probability of finding a version bad that is no worse. */
  private static final double MAX_FALSE_ROLLBACK_RATE = 1e-3;

  /** Time for which a suspicion waits for counts of other targets that have not arrived yet. */
  private static final Duration CONFIRMATION_DELAY = Duration.ofMillis(1600);

  /** Period before a suspicion that the confirming comparison of both versions covers as well. */
  private static final Duration COMPARISON_WINDOW = Duration.ofMillis(2000);

  private final MoveOrder order;
  private final Deque<EvidenceSample> samples = new ArrayDeque<>();
  private Optional<Suspicion> suspicion = Optional.empty();
  private final Map<String, TargetCounts> countsByTarget = new HashMap<>();
  private Instant start;
  private VersionEvaluator evaluator;
  private State state = State.RUNNING;
  private boolean foundBad;
  private String reason = "";
  private int step;

  /**
   * Starts a move.
   *
   * @param order the order
   * @param now current time
   */
  public OrderedMove(MoveOrder order, Instant now) {
    this.order = notNull(order, "order");
    startAt(notNull(now, "now"));
  }

  private void startAt(Instant time) {
    start = time;
    evaluator =
        new VersionEvaluator(
            OrderedMoveSchedule.plan(time, order.length()), MAX_FALSE_ROLLBACK_RATE);
  }

  /**
   * Returns the order.
   *
   * @return the order
   */
  public MoveOrder order() {
    return order;
  }

  /**
   * Moves the start of the move back if another node reports a longer running time.
   *
   * @param elapsed reported time since the start; ignored from twice the length of the order
   * @param now current time
   */
  public void adoptElapsed(Duration elapsed, Instant now) {
    Instant earlier = now.minus(elapsed);
    if (earlier.isBefore(start) && elapsed.compareTo(order.length().multipliedBy(2)) < 0) {
      startAt(earlier);
    }
  }

  /**
   * Applies a final state that the store or another node has stated.
   *
   * @param finalState the state; a running one is ignored
   */
  public void applyFinalState(State finalState) {
    if (finalState != State.RUNNING) {
      state = finalState;
    }
  }

  /**
   * Records that another node has found the version bad.
   *
   * @param source name of the node
   */
  public void markBad(String source) {
    if (!foundBad) {
      foundBad = true;
      reason = "found bad by " + source;
    }
  }

  /**
   * Takes the counts that a target reports.
   *
   * @param instance name of the target
   * @param version target version of the target
   * @param counts cumulative counts by route since the target started
   */
  public void addCounts(String instance, String version, Map<String, CallCounts> counts) {
    Side side = version.equals(order.version()) ? Side.NEW : Side.OLD;
    countsByTarget.computeIfAbsent(instance, unused -> new TargetCounts(side)).join(counts);
  }

  /**
   * Evaluates the evidence.
   *
   * @param now current time
   * @return whether this evaluation found the version bad
   */
  public boolean evaluate(Instant now) {
    step = OrderedMoveSchedule.stepAt(elapsed(now), order.length());
    if (state != State.RUNNING || foundBad) {
      return false;
    }
    Evidence totalEvidence = totalEvidence();
    addSample(new EvidenceSample(now, totalEvidence));
    if (suspicion.isPresent()) {
      return !now.isBefore(suspicion.get().at().plus(CONFIRMATION_DELAY))
          && resolveSuspicion(totalEvidence);
    }
    Evaluation evaluation = evaluator.evaluate(totalEvidence, step, now);
    if (evaluation.kind() == Evaluation.Kind.BAD) {
      suspicion = Optional.of(new Suspicion(now, evaluation.reason()));
    }
    return false;
  }

  /** Confirms a suspicion, or drops it if the old version has become as bad in the same period. */
  private boolean resolveSuspicion(Evidence totalEvidence) {
    Evidence recent = totalEvidence.since(samples.getFirst().evidence());
    if (EffectSizeComparison.isNewVersionWorse(recent)) {
      foundBad = true;
      reason = suspicion.get().reason();
    } else {
      evaluator =
          new VersionEvaluator(
              OrderedMoveSchedule.plan(start, order.length()), MAX_FALSE_ROLLBACK_RATE);
    }
    suspicion = Optional.empty();
    return foundBad;
  }

  private void addSample(EvidenceSample sample) {
    samples.addLast(sample);
    Instant oldestNeeded =
        suspicion.map(Suspicion::at).orElse(sample.at()).minus(COMPARISON_WINDOW);
    while (samples.size() > 1 && samples.getFirst().at().isBefore(oldestNeeded)) {
      samples.removeFirst();
    }
  }

  private Evidence totalEvidence() {
    Evidence totalEvidence = Evidence.NONE;
    for (TargetCounts targetCounts : countsByTarget.values()) {
      totalEvidence = totalEvidence.plus(targetCounts.evidence());
    }
    return totalEvidence;
  }

  /**
   * Returns the rule by which the calls of the service are divided between the versions.
   *
   * @return the rule
   */
  public VersionRule rule() {
    if (state == State.COMPLETED) {
      return new VersionRule(order.version(), 1, Fallback.OTHER_VERSIONS);
    }
    if (state == State.ROLLED_BACK || foundBad) {
      return new VersionRule(order.version(), 0, Fallback.NONE);
    }
    double share = OrderedMoveSchedule.share(suspicion.isPresent() ? 0 : step);
    return new VersionRule(order.version(), share, Fallback.OTHER_VERSIONS);
  }

  /**
   * Returns the state that the store should hold now.
   *
   * @param newTargetsServe whether enough targets of the new version are ready to serve
   * @param now current time
   * @return the state
   */
  public State dueState(boolean newTargetsServe, Instant now) {
    if (state != State.RUNNING) {
      return state;
    }
    if (foundBad) {
      return State.ROLLED_BACK;
    }
    Duration elapsed = elapsed(now);
    if (OrderedMoveSchedule.isComplete(elapsed, order.length())) {
      if (newTargetsServe && suspicion.isEmpty()) {
        return State.COMPLETED;
      }
      return elapsed.compareTo(order.length()) < 0 ? State.RUNNING : State.ROLLED_BACK;
    }
    return State.RUNNING;
  }

  /**
   * Returns the final state of the move, or running if none is known.
   *
   * @return the state
   */
  public State state() {
    return state;
  }

  /**
   * Returns whether the version was found bad by this or another node.
   *
   * @return true once it was found bad
   */
  public boolean isFoundBad() {
    return foundBad;
  }

  /**
   * Returns why the version was found bad.
   *
   * @return one sentence, empty if it was not found bad
   */
  public String reason() {
    return reason;
  }

  /**
   * Returns the time since the start of the move.
   *
   * @param now current time
   * @return the elapsed time
   */
  public Duration elapsed(Instant now) {
    return Duration.between(start, now);
  }

  /**
   * Returns the counts of both sides for logs.
   *
   * @return calls and failures of both versions, empty before the first counts
   */
  public Optional<String> figures() {
    if (countsByTarget.isEmpty()) {
      return Optional.empty();
    }
    Evidence totalEvidence = totalEvidence();
    CallCounts newCounts = totalEvidence.total(Side.NEW);
    CallCounts oldCounts = totalEvidence.total(Side.OLD);
    return Optional.of(
        "new "
            + newCounts.failures()
            + " of "
            + newCounts.calls()
            + " failed, old "
            + oldCounts.failures()
            + " of "
            + oldCounts.calls());
  }

  /** Evidence of all targets at one time. */
  private record EvidenceSample(Instant at, Evidence evidence) {}

  /** Finding that the version is bad which is not confirmed yet. */
  private record Suspicion(Instant at, String reason) {}

  /** Cumulative counts of one target. */
  private static final class TargetCounts {

    private final Side side;
    private Map<String, CallCounts> counts = Map.of();

    TargetCounts(Side side) {
      this.side = side;
    }

    void join(Map<String, CallCounts> newerCounts) {
      Map<String, CallCounts> joined = new HashMap<>(counts);
      newerCounts.forEach((route, count) -> joined.merge(route, count, CallCounts::join));
      counts = joined;
    }

    Evidence evidence() {
      return Evidence.of(
          counts.entrySet().stream()
              .map(entry -> new EvidenceRow(entry.getKey(), side, entry.getValue()))
              .toList());
    }
  }
}
