package org.cuminlatch.bench.move;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.cuminlatch.core.config.Move;
import org.cuminlatch.core.config.MoveOutcome;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.move.CallOutcome;
import org.cuminlatch.core.move.MoveDecision;

/** Test fixture: a simulated mesh of a small service with calls at a constant rate. */
final class MeshFixture {

  static final ServiceProfile SERVICE =
      new ServiceProfile(
          "barrachod",
          "bookings",
          List.of(
              new ServiceProfile.Zone("leinster", "a"),
              new ServiceProfile.Zone("leinster", "b"),
              new ServiceProfile.Zone("munster", "a"),
              new ServiceProfile.Zone("munster", "b")),
          8,
          15,
          200,
          40,
          List.of(new ServiceProfile.RouteShare("stock", 1)));

  private static final Duration TICK_INTERVAL = Duration.ofMillis(200);
  private static final Duration BASE_LATENCY = Duration.ofMillis(40);

  private final SplittableRandom random;
  private final SimulatedMesh mesh;
  private double callsPerNodeAndTick = 2.5;
  private double newFailureRate;
  private Optional<String> failingRegion = Optional.empty();
  private double oldFailureRate;
  private double newCallerErrorRate;
  private boolean newIsCold;
  private Duration newLatency = BASE_LATENCY;

  MeshFixture(long seed, Move move) {
    random = new SplittableRandom(seed);
    mesh = new SimulatedMesh(SERVICE, move, MoveRun.START.minusSeconds(10), random);
  }

  static Move move(long seconds, long soakSeconds) {
    Move move = MoveRun.move(SERVICE);
    return new Move(
        move.name(),
        move.service(),
        move.route(),
        move.from(),
        move.to(),
        move.start(),
        move.start().plusSeconds(seconds),
        List.of(),
        Duration.ofSeconds(soakSeconds),
        false);
  }

  SimulatedMesh mesh() {
    return mesh;
  }

  MeshFixture withNewFailureRate(double share) {
    newFailureRate = share;
    return this;
  }

  /** Makes the new version fail for callers in one region only. */
  MeshFixture withNewFailureRateInRegion(String region, double share) {
    failingRegion = Optional.of(region);
    return withNewFailureRate(share);
  }

  MeshFixture withOldFailureRate(double share) {
    oldFailureRate = share;
    return this;
  }

  MeshFixture withNewCallerErrorRate(double share) {
    newCallerErrorRate = share;
    return this;
  }

  MeshFixture withSlowNewVersion(int factor) {
    newLatency = BASE_LATENCY.multipliedBy(factor);
    return this;
  }

  MeshFixture withColdNewVersion() {
    newIsCold = true;
    return this;
  }

  MeshFixture withCallsPerSecond(double calls) {
    callsPerNodeAndTick = calls * TICK_INTERVAL.toMillis() / 1_000 / mesh.nodes();
    return this;
  }

  /** Runs until the given number of seconds after the start of the move. */
  MeshFixture runUntil(double seconds) {
    Instant end = MoveRun.START.plusMillis((long) (seconds * 1_000));
    while (mesh.now().isBefore(end)) {
      step();
    }
    return this;
  }

  /** Runs until the new version's share at a node reaches a value; fails after ten minutes. */
  MeshFixture runUntilShare(int node, double share) {
    Instant end = mesh.now().plusSeconds(600);
    while (mesh.newVersionShare(node) < share) {
      if (mesh.now().isAfter(end)) {
        throw new AssertionError("share " + share + " not reached within 10 minutes: " + reasons());
      }
      step();
    }
    return this;
  }

  void step() {
    for (int node = 0; node < mesh.nodes(); node++) {
      if (mesh.isUp(node)) {
        generateCalls(node);
      }
    }
    mesh.tick(mesh.now().plus(TICK_INTERVAL));
  }

  private void generateCalls(int node) {
    double share = mesh.newVersionShare(node);
    int calls = (int) callsPerNodeAndTick;
    calls += random.nextDouble() < callsPerNodeAndTick - calls ? 1 : 0;
    for (int i = 0; i < calls; i++) {
      boolean toNewVersion = random.nextDouble() < share;
      mesh.recordCall(
          node,
          new CallOutcome(
              "stock",
              SERVICE.service(),
              toNewVersion ? "2" : "1",
              resultOf(node, toNewVersion),
              toNewVersion ? newLatency : BASE_LATENCY,
              toNewVersion && newIsCold));
    }
  }

  private CallOutcome.Result resultOf(int node, boolean toNewVersion) {
    String region = mesh.node(node).member().locality().region();
    boolean outsideFailingRegion = failingRegion.isPresent() && !failingRegion.get().equals(region);
    double failureRate =
        toNewVersion ? (outsideFailingRegion ? 0 : newFailureRate) : oldFailureRate;
    if (random.nextDouble() < failureRate) {
      return CallOutcome.Result.FAILURE;
    }
    return toNewVersion && random.nextDouble() < newCallerErrorRate
        ? CallOutcome.Result.CALLER_ERROR
        : CallOutcome.Result.SUCCESS;
  }

  double maxCurrentShare() {
    double max = 0;
    for (int node = 0; node < mesh.nodes(); node++) {
      max = Math.max(max, mesh.newVersionShare(node));
    }
    return max;
  }

  Optional<MoveOutcome.Result> result() {
    return mesh.outcome().map(MoveOutcome::result);
  }

  /** Returns the index of the node that evaluates the move for a zone. */
  int aggregatorOfZone(int zone) {
    for (int node = 0; node < mesh.nodes(); node++) {
      Member member = mesh.node(node).member();
      ServiceProfile.Zone zoneProfile = SERVICE.zones().get(zone);
      boolean inZone =
          member.locality().region().equals(zoneProfile.region())
              && member.locality().zone().equals(zoneProfile.zone());
      boolean evaluatesMove =
          mesh.node(node).decisions().stream()
              .anyMatch(decision -> decision.kind() == MoveDecision.Kind.RAISE);
      if (inZone && evaluatesMove) {
        return node;
      }
    }
    throw new AssertionError("no aggregator in zone " + zone);
  }

  List<String> reasons() {
    List<String> reasons = new ArrayList<>();
    for (int node = 0; node < mesh.nodes(); node++) {
      mesh.node(node).engine().progress().forEach(open -> reasons.add(open.reason()));
    }
    return reasons;
  }
}
