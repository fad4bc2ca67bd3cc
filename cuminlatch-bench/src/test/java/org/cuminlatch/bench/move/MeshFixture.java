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

/** A mesh of a small service with calls at a steady rate, for tests. */
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
          List.of(new ServiceProfile.RoutePart("stock", 1)));

  private static final Duration TICK = Duration.ofMillis(200);
  private static final Duration LATENCY = Duration.ofMillis(40);

  private final SplittableRandom random;
  private final SimulatedMesh mesh;
  private double callsPerNodeAndTick = 2.5;
  private double newFailures;
  private Optional<String> failingRegion = Optional.empty();
  private double oldFailures;
  private double newCallerErrors;
  private boolean newIsCold;
  private Duration newLatency = LATENCY;

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

  MeshFixture failNew(double share) {
    newFailures = share;
    return this;
  }

  /** Lets the new version fail for callers of one region only. */
  MeshFixture failNewIn(String region, double share) {
    failingRegion = Optional.of(region);
    return failNew(share);
  }

  MeshFixture failOld(double share) {
    oldFailures = share;
    return this;
  }

  MeshFixture callerErrorsOfNew(double share) {
    newCallerErrors = share;
    return this;
  }

  MeshFixture slowNew(int factor) {
    newLatency = LATENCY.multipliedBy(factor);
    return this;
  }

  MeshFixture coldNew() {
    newIsCold = true;
    return this;
  }

  MeshFixture callsPerSecond(double calls) {
    callsPerNodeAndTick = calls * TICK.toMillis() / 1_000 / mesh.nodes();
    return this;
  }

  /** Runs until a number of seconds after the start of the move. */
  MeshFixture runUntil(double seconds) {
    Instant end = MoveRun.START.plusMillis((long) (seconds * 1_000));
    while (mesh.now().isBefore(end)) {
      step();
    }
    return this;
  }

  /** Runs until the share at a node reaches a value, or fails after ten minutes. */
  MeshFixture runUntilShare(int node, double share) {
    Instant end = mesh.now().plusSeconds(600);
    while (mesh.newShare(node) < share) {
      if (mesh.now().isAfter(end)) {
        throw new AssertionError("share " + share + " not reached: " + reasons());
      }
      step();
    }
    return this;
  }

  void step() {
    for (int node = 0; node < mesh.nodes(); node++) {
      if (mesh.isUp(node)) {
        callsAt(node);
      }
    }
    mesh.tick(mesh.now().plus(TICK));
  }

  private void callsAt(int node) {
    double share = mesh.newShare(node);
    int calls = (int) callsPerNodeAndTick;
    calls += random.nextDouble() < callsPerNodeAndTick - calls ? 1 : 0;
    for (int i = 0; i < calls; i++) {
      boolean fresh = random.nextDouble() < share;
      mesh.observed(
          node,
          new CallOutcome(
              "stock",
              SERVICE.service(),
              fresh ? "2" : "1",
              resultOf(node, fresh),
              fresh ? newLatency : LATENCY,
              fresh && newIsCold));
    }
  }

  private CallOutcome.Result resultOf(int node, boolean fresh) {
    String region = mesh.node(node).member().locality().region();
    boolean spared = failingRegion.isPresent() && !failingRegion.get().equals(region);
    double failures = fresh ? (spared ? 0 : newFailures) : oldFailures;
    if (random.nextDouble() < failures) {
      return CallOutcome.Result.FAILURE;
    }
    return fresh && random.nextDouble() < newCallerErrors
        ? CallOutcome.Result.CALLER_ERROR
        : CallOutcome.Result.SUCCESS;
  }

  double highestShareNow() {
    double highest = 0;
    for (int node = 0; node < mesh.nodes(); node++) {
      highest = Math.max(highest, mesh.newShare(node));
    }
    return highest;
  }

  Optional<MoveOutcome.Result> result() {
    return mesh.outcome().map(MoveOutcome::result);
  }

  /** Returns the number of the node that judges the move for a zone. */
  int aggregatorOfZone(int zone) {
    for (int node = 0; node < mesh.nodes(); node++) {
      Member member = mesh.node(node).member();
      ServiceProfile.Zone wanted = SERVICE.zones().get(zone);
      boolean inZone =
          member.locality().region().equals(wanted.region())
              && member.locality().zone().equals(wanted.zone());
      boolean judges =
          mesh.node(node).decisions().stream()
              .anyMatch(decision -> decision.kind() == MoveDecision.Kind.RAISE);
      if (inZone && judges) {
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
