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
 * One node's view of the latest ordered move of a service.
 *
 * <p>The share rises by the time since the order. Any node that finds the version bad cuts its own
 * share at once and says so; what the store holds as final stands over that. Not safe for use by
 * many threads.
 */
public final class OrderedMove {

  /** Bound on the probability of finding a version bad that is no worse. */
  private static final double ERROR_RATE = 1e-3;

  /** Time for which a suspicion waits for what the other targets counted meanwhile. */
  private static final Duration CONFIRMATION = Duration.ofMillis(1600);

  /** Time before a suspicion over which both sides are compared to confirm it. */
  private static final Duration COMPARED = Duration.ofMillis(2000);

  private final MoveOrder order;
  private final Deque<Reading> readings = new ArrayDeque<>();
  private Optional<Suspicion> suspicion = Optional.empty();
  private final Map<String, Source> sources = new HashMap<>();
  private Instant start;
  private Judge judge;
  private State state = State.RUNNING;
  private boolean foundBad;
  private String reason = "";
  private int step;

  /**
   * Begins with an order.
   *
   * @param order the order
   * @param now present time
   */
  public OrderedMove(MoveOrder order, Instant now) {
    this.order = notNull(order, "order");
    startAt(notNull(now, "now"));
  }

  private void startAt(Instant time) {
    start = time;
    judge = new Judge(MoveSchedule.plan(time, order.length()), ERROR_RATE);
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
   * Takes word of how long the move has been running, if that is longer than known.
   *
   * @param elapsed time since its start
   * @param now present time
   */
  public void runningFor(Duration elapsed, Instant now) {
    Instant earlier = now.minus(elapsed);
    if (earlier.isBefore(start) && elapsed.compareTo(order.length().multipliedBy(2)) < 0) {
      startAt(earlier);
    }
  }

  /**
   * Takes a final statement that the store holds.
   *
   * @param ended the statement
   */
  public void ended(State ended) {
    if (ended != State.RUNNING) {
      state = ended;
    }
  }

  /**
   * Takes another node's finding that the version is bad.
   *
   * @param source the node
   */
  public void foundBadBy(String source) {
    if (!foundBad) {
      foundBad = true;
      reason = "found bad by " + source;
    }
  }

  /**
   * Takes counts of a target.
   *
   * @param instance name of the target
   * @param version its target version
   * @param counts cumulative counts by route since the start of the target
   */
  public void evidence(String instance, String version, Map<String, Counts> counts) {
    Side side = version.equals(order.version()) ? Side.NEW : Side.OLD;
    sources.computeIfAbsent(instance, unused -> new Source(side)).join(counts);
  }

  /**
   * Looks at the evidence.
   *
   * @param now present time
   * @return whether the version was found bad by this look
   */
  public boolean look(Instant now) {
    step = MoveSchedule.step(elapsed(now), order.length());
    if (state != State.RUNNING || foundBad) {
      return false;
    }
    Evidence sum = sum();
    remember(new Reading(now, sum));
    if (suspicion.isPresent()) {
      return !now.isBefore(suspicion.get().at().plus(CONFIRMATION)) && decide(sum);
    }
    Verdict verdict = judge.look(sum, step, now);
    if (verdict.kind() == Verdict.Kind.BAD) {
      suspicion = Optional.of(new Suspicion(now, verdict.reason()));
    }
    return false;
  }

  /** Confirms a suspicion, or drops it where the old version has got as bad at the same time. */
  private boolean decide(Evidence sum) {
    Evidence recent = sum.since(readings.getFirst().evidence());
    if (MoveComparison.isWorse(recent)) {
      foundBad = true;
      reason = suspicion.get().reason();
    } else {
      judge = new Judge(MoveSchedule.plan(start, order.length()), ERROR_RATE);
    }
    suspicion = Optional.empty();
    return foundBad;
  }

  private void remember(Reading reading) {
    readings.addLast(reading);
    Instant needed = suspicion.map(Suspicion::at).orElse(reading.at()).minus(COMPARED);
    while (readings.size() > 1 && readings.getFirst().at().isBefore(needed)) {
      readings.removeFirst();
    }
  }

  private Evidence sum() {
    Evidence sum = Evidence.NONE;
    for (Source source : sources.values()) {
      sum = sum.plus(source.evidence());
    }
    return sum;
  }

  /**
   * Returns how the calls of the service are divided at present.
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
    double share = MoveSchedule.share(suspicion.isPresent() ? 0 : step);
    return new VersionRule(order.version(), share, Fallback.OTHER_VERSIONS);
  }

  /**
   * Returns what is to be stated now, if the store does not hold it yet.
   *
   * @param newTargetsServe whether enough targets of the new version are ready
   * @param now present time
   * @return the state
   */
  public State due(boolean newTargetsServe, Instant now) {
    if (state != State.RUNNING) {
      return state;
    }
    if (foundBad) {
      return State.ROLLED_BACK;
    }
    Duration elapsed = elapsed(now);
    if (MoveSchedule.isComplete(elapsed, order.length())) {
      if (newTargetsServe && suspicion.isEmpty()) {
        return State.COMPLETED;
      }
      return elapsed.compareTo(order.length()) < 0 ? State.RUNNING : State.ROLLED_BACK;
    }
    return State.RUNNING;
  }

  /**
   * Returns the state that is known to be final, or running.
   *
   * @return the state
   */
  public State state() {
    return state;
  }

  /**
   * Returns whether the version was found bad, here or elsewhere.
   *
   * @return true once it was
   */
  public boolean isFoundBad() {
    return foundBad;
  }

  /**
   * Returns why the version was found bad.
   *
   * @return one sentence, empty if it was not
   */
  public String reason() {
    return reason;
  }

  /**
   * Returns the time since the start.
   *
   * @param now present time
   * @return the time
   */
  public Duration elapsed(Instant now) {
    return Duration.between(start, now);
  }

  /**
   * Returns the counts of both sides for logs.
   *
   * @return calls and failures
   */
  public Optional<String> figures() {
    if (sources.isEmpty()) {
      return Optional.empty();
    }
    Evidence sum = sum();
    Counts fresh = sum.total(Side.NEW);
    Counts old = sum.total(Side.OLD);
    return Optional.of(
        "new "
            + fresh.failures()
            + " of "
            + fresh.calls()
            + " failed, old "
            + old.failures()
            + " of "
            + old.calls());
  }

  /** The evidence of all targets at one time. */
  private record Reading(Instant at, Evidence evidence) {}

  /** A verdict of the judge that is not confirmed yet. */
  private record Suspicion(Instant at, String reason) {}

  /** Counts of one target; each number only grows. */
  private static final class Source {

    private final Side side;
    private Map<String, Counts> counts = Map.of();

    Source(Side side) {
      this.side = side;
    }

    void join(Map<String, Counts> newer) {
      Map<String, Counts> joined = new HashMap<>(counts);
      newer.forEach((route, count) -> joined.merge(route, count, Counts::join));
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
