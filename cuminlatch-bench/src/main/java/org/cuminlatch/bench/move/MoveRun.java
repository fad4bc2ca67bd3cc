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

/** Simulates one move from a warm-up before its start until after its deadline. */
final class MoveRun {

  static final Instant START = Instant.parse("2026-03-01T08:00:00Z");
  static final Duration MOVE_DURATION = Duration.ofSeconds(300);
  static final Duration SOAK_DURATION = Duration.ofSeconds(60);
  private static final Duration WARM_UP_DURATION = Duration.ofSeconds(20);
  private static final Duration TIME_AFTER_DEADLINE = Duration.ofSeconds(40);
  private static final Duration TICK_INTERVAL = Duration.ofMillis(200);
  private static final Duration NODE_RESTART_DELAY = Duration.ofSeconds(3);
  private static final long MIN_FAULTY_CALLS = 20;

  private final ServiceProfile profile;
  private final SimulatedVersion version;
  private final MoveStrategy strategy;
  private final RandomGenerator random;
  private final GlobalEvaluator globalEvaluator;
  private long calls;
  private long newVersionCalls;
  private long faultyCalls;
  private long callsUntilLastNewVersionCall;
  private Optional<Double> faultShownAtSeconds = Optional.empty();
  private double lastNewVersionCallAtSeconds;

  MoveRun(
      ServiceProfile profile,
      SimulatedVersion version,
      MoveStrategy strategy,
      RandomGenerator random) {
    this.profile = profile;
    this.version = version;
    this.strategy = strategy;
    this.random = random;
    this.globalEvaluator = new GlobalEvaluator(move(profile));
  }

  /** Returns the move that is simulated. */
  static Move move(ServiceProfile profile) {
    return new Move(
        "move",
        profile.service(),
        Optional.empty(),
        "1",
        "2",
        START,
        START.plus(MOVE_DURATION),
        List.of(),
        SOAK_DURATION,
        false);
  }

  /** Simulates a move performed by the mesh. */
  static MoveResult ofMesh(
      ServiceProfile profile, VersionKind kind, Condition condition, RandomGenerator random) {
    SimulatedVersion version =
        new SimulatedVersion(kind, profile, MOVE_DURATION.toSeconds(), random);
    SimulatedMesh mesh =
        new SimulatedMesh(profile, move(profile), START.minus(WARM_UP_DURATION), random);
    MoveRun run = new MoveRun(profile, version, mesh, random);
    Duration restartAt = MOVE_DURATION.multipliedBy(random.nextInt(10, 80)).dividedBy(100);
    return run.run(now -> applyCondition(condition, mesh, Duration.between(START, now), restartAt));
  }

  /** Simulates a move with fixed shares and a fixed failure threshold. */
  static MoveResult ofBaseline(
      ServiceProfile profile, VersionKind kind, List<Double> shares, RandomGenerator random) {
    SimulatedVersion version =
        new SimulatedVersion(kind, profile, MOVE_DURATION.toSeconds(), random);
    FixedThresholdStrategy strategy =
        new FixedThresholdStrategy(move(profile), shares, 2 * profile.targets());
    return new MoveRun(profile, version, strategy, random).run(now -> {});
  }

  /** Injects faults at given times of a simulation. */
  interface FaultSchedule {

    void applyAt(Instant now);
  }

  private static void applyCondition(
      Condition condition, SimulatedMesh mesh, Duration elapsed, Duration restartAt) {
    boolean isFirstTick = elapsed.equals(WARM_UP_DURATION.negated().plus(TICK_INTERVAL));
    boolean isAfterDeadline = elapsed.equals(MOVE_DURATION.plus(TIME_AFTER_DEADLINE.dividedBy(2)));
    switch (condition) {
      case CALM -> {}
      case LOG_DOWN -> updateLog(mesh, isFirstTick, isAfterDeadline);
      case HALF_RESTARTED -> {
        updateLog(mesh, isFirstTick, isAfterDeadline);
        restartHalfOfNodes(mesh, elapsed, restartAt);
      }
      case REGION_CUT -> {
        if (elapsed.equals(MOVE_DURATION.dividedBy(4))) {
          mesh.setPartitioned(true);
        } else if (elapsed.equals(MOVE_DURATION.multipliedBy(3).dividedBy(4))) {
          mesh.setPartitioned(false);
        }
      }
      case REGION_CUT_THROUGHOUT -> {
        if (isFirstTick) {
          mesh.startPartitioned();
        } else if (isAfterDeadline) {
          mesh.setPartitioned(false);
        }
      }
      default -> throw new IllegalArgumentException("unsupported condition");
    }
  }

  private static void updateLog(SimulatedMesh mesh, boolean isFirstTick, boolean isAfterDeadline) {
    if (isFirstTick || isAfterDeadline) {
      mesh.setLogUp(isAfterDeadline);
    }
  }

  private static void restartHalfOfNodes(SimulatedMesh mesh, Duration elapsed, Duration restartAt) {
    for (int node = 0; node < mesh.nodes(); node += 2) {
      if (elapsed.equals(restartAt)) {
        mesh.stopNode(node);
      } else if (elapsed.equals(restartAt.plus(NODE_RESTART_DELAY))) {
        mesh.startNode(node);
      }
    }
  }

  MoveResult run(FaultSchedule faults) {
    PoissonDistribution arrivals =
        new PoissonDistribution(
            RandomGeneratorFactory.createRandomGenerator(new java.util.Random(random.nextLong())),
            profile.callsPerSecond() * TICK_INTERVAL.toMillis() / 1_000.0 / strategy.nodes(),
            PoissonDistribution.DEFAULT_EPSILON,
            PoissonDistribution.DEFAULT_MAX_ITERATIONS);
    Instant end = START.plus(MOVE_DURATION).plus(TIME_AFTER_DEADLINE);
    Instant now = START.minus(WARM_UP_DURATION);
    Instant endedAt = end;
    while (now.isBefore(end)) {
      now = now.plus(TICK_INTERVAL);
      faults.applyAt(now);
      for (int node = 0; node < strategy.nodes(); node++) {
        generateCalls(node, arrivals.sample(), now);
      }
      strategy.tick(now);
      evaluateIfDue(now);
      if (strategy.outcome().isPresent() && endedAt.equals(end)) {
        endedAt = now;
        end = now.plusSeconds(10);
      }
    }
    return result(endedAt);
  }

  private void evaluateIfDue(Instant now) {
    if (version.isBad() && strategy.outcome().isEmpty()) {
      globalEvaluator.evaluate(strategy.newVersionShare(0), now);
    }
  }

  private void generateCalls(int node, int count, Instant now) {
    if (!strategy.isUp(node)) {
      return;
    }
    double atSeconds = seconds(now);
    double share = strategy.newVersionShare(node);
    boolean moveOpen = strategy.outcome().isEmpty();
    for (int i = 0; i < count; i++) {
      call(node, share, atSeconds, moveOpen);
    }
  }

  private void call(int node, double share, double atSeconds, boolean moveOpen) {
    boolean toNewVersion = share > 0 && random.nextDouble() < share;
    int route = chooseRoute();
    SimulatedVersion.CallEnd callEnd = version.call(toNewVersion, route, atSeconds, share, random);
    if (moveOpen || isRolledBack()) {
      countCall(toNewVersion, callEnd, atSeconds);
    }
    CallOutcome.Result result =
        callEnd.failed()
            ? CallOutcome.Result.FAILURE
            : callEnd.callerError() ? CallOutcome.Result.CALLER_ERROR : CallOutcome.Result.SUCCESS;
    CallOutcome outcome =
        new CallOutcome(
            profile.routes().get(route).route(),
            profile.service(),
            toNewVersion ? "2" : "1",
            result,
            callEnd.latency(),
            callEnd.cold());
    strategy.recordCall(node, outcome);
    globalEvaluator.recordCall(outcome);
  }

  private boolean isRolledBack() {
    return strategy.outcome().map(MoveOutcome::result).orElse(null)
        == MoveOutcome.Result.ROLLED_BACK;
  }

  private void countCall(boolean toNewVersion, SimulatedVersion.CallEnd callEnd, double atSeconds) {
    calls += atSeconds >= 0 ? 1 : 0;
    if (!toNewVersion) {
      return;
    }
    newVersionCalls++;
    callsUntilLastNewVersionCall = calls;
    lastNewVersionCallAtSeconds = atSeconds;
    faultyCalls += callEnd.causedByFault() ? 1 : 0;
    if (faultShownAtSeconds.isEmpty() && faultyCalls >= MIN_FAULTY_CALLS) {
      faultShownAtSeconds = Optional.of(atSeconds);
    }
  }

  private int chooseRoute() {
    double position = random.nextDouble();
    int route = 0;
    while (position >= profile.routes().get(route).callShare()
        && route < profile.routes().size() - 1) {
      position -= profile.routes().get(route).callShare();
      route++;
    }
    return route;
  }

  private double secondsUntilLastNewVersionCall(double fromSeconds) {
    return Math.max(0, lastNewVersionCallAtSeconds - fromSeconds);
  }

  private static double seconds(Instant at) {
    return Duration.between(START, at).toMillis() / 1_000.0;
  }

  private MoveResult result(Instant endedAt) {
    Optional<MoveOutcome> outcome = strategy.outcome();
    boolean beforeDeadline =
        outcome
            .map(decided -> !decided.decidedAt().isAfter(START.plus(MOVE_DURATION)))
            .orElse(false);
    double seconds = Duration.between(START.minus(WARM_UP_DURATION), endedAt).toMillis() / 1_000.0;
    int contradictions = strategy instanceof SimulatedMesh mesh ? mesh.log().contradictions() : 0;
    return new MoveResult(
        outcome,
        beforeDeadline,
        calls,
        newVersionCalls,
        faultyCalls,
        callsUntilLastNewVersionCall == 0
            ? 0
            : (double) newVersionCalls / callsUntilLastNewVersionCall,
        faultShownAtSeconds.isPresent(),
        faultShownAtSeconds.map(this::secondsUntilLastNewVersionCall).orElse(0.0),
        globalEvaluator
            .provedBadAt()
            .map(MoveRun::seconds)
            .map(this::secondsUntilLastNewVersionCall),
        strategy.evidenceBytes() / seconds / strategy.nodes(),
        contradictions);
  }
}
