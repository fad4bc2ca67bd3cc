package org.cuminlatch.bench.move;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.apache.commons.math3.distribution.PoissonDistribution;
import org.apache.commons.math3.random.RandomGeneratorFactory;
import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.config.MoveOutcome;
import org.cuminlatch.core.move.CallOutcome;

/** Drives one simulated move from its start to after its deadline. */
final class MoveRun {

  static final Instant START = Instant.parse("2026-03-01T08:00:00Z");
  static final Duration LENGTH = Duration.ofSeconds(300);
  static final Duration SOAK = Duration.ofSeconds(60);
  private static final Duration WARM_UP = Duration.ofSeconds(20);
  private static final Duration AFTERWARDS = Duration.ofSeconds(40);
  private static final Duration TICK = Duration.ofMillis(200);
  private static final Duration OUTAGE_OF_NODE = Duration.ofSeconds(3);
  private static final long SHOWN_CALLS = 20;

  private final ServiceProfile profile;
  private final SimulatedVersion version;
  private final TrafficControl control;
  private final RandomGenerator random;
  private final Oracle oracle;
  private long calls;
  private long newCalls;
  private long injectedCalls;
  private long callsUntilLastNew;
  private Optional<Double> shownAt = Optional.empty();
  private double lastNewAt;

  MoveRun(
      ServiceProfile profile,
      SimulatedVersion version,
      TrafficControl control,
      RandomGenerator random) {
    this.profile = profile;
    this.version = version;
    this.control = control;
    this.random = random;
    this.oracle = new Oracle(move(profile));
  }

  /** Returns the record of the moves that are simulated. */
  static Move move(ServiceProfile profile) {
    return new Move(
        "move",
        profile.service(),
        Optional.empty(),
        "1",
        "2",
        START,
        START.plus(LENGTH),
        List.of(),
        SOAK,
        false);
  }

  /** Simulates a move carried by the mesh. */
  static MoveResult ofMesh(
      ServiceProfile profile, VersionKind kind, Condition condition, RandomGenerator random) {
    SimulatedVersion version = new SimulatedVersion(kind, profile, LENGTH.toSeconds(), random);
    SimulatedMesh mesh = new SimulatedMesh(profile, move(profile), START.minus(WARM_UP), random);
    MoveRun run = new MoveRun(profile, version, mesh, random);
    Duration restartAt = LENGTH.multipliedBy(random.nextInt(10, 80)).dividedBy(100);
    return run.run(now -> apply(condition, mesh, Duration.between(START, now), restartAt));
  }

  /** Simulates a move carried by fixed shares and a fixed threshold. */
  static MoveResult ofBaseline(
      ServiceProfile profile, VersionKind kind, List<Double> shares, RandomGenerator random) {
    SimulatedVersion version = new SimulatedVersion(kind, profile, LENGTH.toSeconds(), random);
    FixedThreshold control = new FixedThreshold(move(profile), shares, 2 * profile.targets());
    return new MoveRun(profile, version, control, random).run(now -> {});
  }

  /** What happens round the move at a time. */
  interface Events {

    void at(Instant now);
  }

  private static void apply(
      Condition condition, SimulatedMesh mesh, Duration passed, Duration restartAt) {
    boolean first = passed.equals(WARM_UP.negated().plus(TICK));
    boolean ends = passed.equals(LENGTH.plus(AFTERWARDS.dividedBy(2)));
    switch (condition) {
      case CALM -> {}
      case LOG_DOWN -> setLog(mesh, first, ends);
      case HALF_RESTARTED -> {
        setLog(mesh, first, ends);
        restartHalf(mesh, passed, restartAt);
      }
      case REGION_CUT -> {
        if (passed.equals(LENGTH.dividedBy(4))) {
          mesh.setCut(true);
        } else if (passed.equals(LENGTH.multipliedBy(3).dividedBy(4))) {
          mesh.setCut(false);
        }
      }
      case REGION_CUT_THROUGHOUT -> {
        if (first) {
          mesh.setCutFromTheBeginning();
        } else if (ends) {
          mesh.setCut(false);
        }
      }
      default -> throw new IllegalArgumentException("condition must be known");
    }
  }

  private static void setLog(SimulatedMesh mesh, boolean first, boolean ends) {
    if (first || ends) {
      mesh.setLogUp(ends);
    }
  }

  private static void restartHalf(SimulatedMesh mesh, Duration passed, Duration restartAt) {
    for (int node = 0; node < mesh.nodes(); node += 2) {
      if (passed.equals(restartAt)) {
        mesh.stopNode(node);
      } else if (passed.equals(restartAt.plus(OUTAGE_OF_NODE))) {
        mesh.startNode(node);
      }
    }
  }

  MoveResult run(Events events) {
    PoissonDistribution arrivals =
        new PoissonDistribution(
            RandomGeneratorFactory.createRandomGenerator(new java.util.Random(random.nextLong())),
            profile.callsPerSecond() * TICK.toMillis() / 1_000.0 / control.nodes(),
            PoissonDistribution.DEFAULT_EPSILON,
            PoissonDistribution.DEFAULT_MAX_ITERATIONS);
    Instant end = START.plus(LENGTH).plus(AFTERWARDS);
    Instant now = START.minus(WARM_UP);
    Instant ended = end;
    while (now.isBefore(end)) {
      now = now.plus(TICK);
      events.at(now);
      for (int node = 0; node < control.nodes(); node++) {
        callsAt(node, arrivals.sample(), now);
      }
      control.tick(now);
      lookIfDue(now);
      if (control.outcome().isPresent() && ended.equals(end)) {
        ended = now;
        end = now.plusSeconds(10);
      }
    }
    return result(ended);
  }

  private void lookIfDue(Instant now) {
    if (version.isBad() && control.outcome().isEmpty()) {
      oracle.look(control.newShare(0), now);
    }
  }

  private void callsAt(int node, int count, Instant now) {
    if (!control.isUp(node)) {
      return;
    }
    double atSeconds = seconds(now);
    double share = control.newShare(node);
    boolean running = control.outcome().isEmpty();
    for (int i = 0; i < count; i++) {
      call(node, share, atSeconds, running);
    }
  }

  private void call(int node, double share, double atSeconds, boolean running) {
    boolean fresh = share > 0 && random.nextDouble() < share;
    int route = route();
    SimulatedVersion.Ending ending = version.call(fresh, route, atSeconds, share, random);
    if (running || rolledBack()) {
      count(fresh, ending, atSeconds);
    }
    CallOutcome.Result result =
        ending.failed()
            ? CallOutcome.Result.FAILURE
            : ending.callerError() ? CallOutcome.Result.CALLER_ERROR : CallOutcome.Result.SUCCESS;
    CallOutcome outcome =
        new CallOutcome(
            profile.routes().get(route).route(),
            profile.service(),
            fresh ? "2" : "1",
            result,
            ending.latency(),
            ending.cold());
    control.observed(node, outcome);
    oracle.observed(outcome);
  }

  private boolean rolledBack() {
    return control.outcome().map(MoveOutcome::result).orElse(null)
        == MoveOutcome.Result.ROLLED_BACK;
  }

  private void count(boolean fresh, SimulatedVersion.Ending ending, double atSeconds) {
    calls += atSeconds >= 0 ? 1 : 0;
    if (!fresh) {
      return;
    }
    newCalls++;
    callsUntilLastNew = calls;
    lastNewAt = atSeconds;
    injectedCalls += ending.injected() ? 1 : 0;
    if (shownAt.isEmpty() && injectedCalls >= SHOWN_CALLS) {
      shownAt = Optional.of(atSeconds);
    }
  }

  private int route() {
    double at = random.nextDouble();
    int route = 0;
    while (at >= profile.routes().get(route).part() && route < profile.routes().size() - 1) {
      at -= profile.routes().get(route).part();
      route++;
    }
    return route;
  }

  private double untilNone(double fromSeconds) {
    return Math.max(0, lastNewAt - fromSeconds);
  }

  private static double seconds(Instant at) {
    return Duration.between(START, at).toMillis() / 1_000.0;
  }

  private MoveResult result(Instant ended) {
    Optional<MoveOutcome> outcome = control.outcome();
    boolean inTime =
        outcome.map(stated -> !stated.decidedAt().isAfter(START.plus(LENGTH))).orElse(false);
    double seconds = Duration.between(START.minus(WARM_UP), ended).toMillis() / 1_000.0;
    int contradictions = control instanceof SimulatedMesh mesh ? mesh.log().contradictions() : 0;
    return new MoveResult(
        outcome,
        inTime,
        calls,
        newCalls,
        injectedCalls,
        callsUntilLastNew == 0 ? 0 : (double) newCalls / callsUntilLastNew,
        shownAt.isPresent(),
        shownAt.map(this::untilNone).orElse(0.0),
        oracle.provedAt().map(MoveRun::seconds).map(this::untilNone),
        control.bytes() / seconds / control.nodes(),
        contradictions);
  }
}
