package org.cuminlatch.core.account;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cuminlatch.core.account.KeyValidity.Proof;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A node that accepts requests by keys")
class KeyValidityTests {

  private static final String SEED = "20261206";
  private static final long RUN_MILLIS = 90_000;

  private static Duration seconds(double seconds) {
    return Duration.ofMillis((long) (seconds * 1000));
  }

  /** Guards against keys that are accepted on a proof whose age was underestimated. */
  @Property(tries = 400, seed = SEED)
  void neverAcceptsKeyThatWasWithdrawnEarlierThanTheBound(@ForAll long seed) {
    var mesh = new KeyValiditySimulation(seed, 2, 3, true);
    for (long time = 0; time < RUN_MILLIS; time += mesh.randomMillis(200, 9000)) {
      mesh.at(time, mesh::publish);
    }
    for (KeyValiditySimulation.Node node : mesh.nodes) {
      for (long time = 0; time < RUN_MILLIS; time += mesh.randomMillis(100, 12_000)) {
        mesh.at(time, randomFault(mesh, node));
      }
    }
    mesh.runUntil(RUN_MILLIS);
    assertThat(mesh.nodes.stream().mapToLong(node -> node.accepted).sum(), greaterThan(0L));
  }

  /**
   * Guards against keys of a version whose successor the store has acknowledged and lost, perhaps
   * before any node has read it. Nodes are not restarted, as a new process knows of no return.
   */
  @Property(tries = 400, seed = SEED)
  void neverAcceptsWithdrawnKeyAlthoughTheStoreHasLostIt(@ForAll long seed) {
    var mesh = new KeyValiditySimulation(seed, 2, 3, true);
    for (long time = 0; time < RUN_MILLIS; time += mesh.randomMillis(200, 9000)) {
      mesh.at(time, mesh::publish);
    }
    for (long time = 10_000; time < RUN_MILLIS; time += mesh.randomMillis(5000, 30_000)) {
      long copyAge = mesh.randomMillis(50, 9000);
      long rewriteTime = mesh.randomMillis(50, StoreReadProofs.REWRITE_PERIOD.toMillis());
      mesh.at(time, () -> mesh.returnFromCopy(copyAge, rewriteTime));
    }
    for (KeyValiditySimulation.Node node : mesh.nodes) {
      for (long time = 0; time < RUN_MILLIS; time += mesh.randomMillis(100, 12_000)) {
        Runnable fault =
            mesh.randomMillis(0, 1) == 0
                ? () -> node.cut(mesh.randomMillis(0, 1) == 0, mesh.randomMillis(0, 1) == 0)
                : () -> node.suspend(mesh.randomMillis(50, 20_000));
        mesh.at(time, fault);
      }
    }
    mesh.runUntil(RUN_MILLIS);
    assertThat(mesh.nodes.stream().mapToLong(node -> node.accepted).sum(), greaterThan(0L));
  }

  private static Runnable randomFault(KeyValiditySimulation mesh, KeyValiditySimulation.Node node) {
    return switch ((int) mesh.randomMillis(0, 6)) {
      case 0 -> node::start;
      case 1 -> () -> node.suspend(mesh.randomMillis(50, 20_000));
      case 2 -> () -> node.setClock(mesh.randomMillis(-30_000, 30_000));
      case 3 -> () -> node.cut(true, false);
      case 4 -> () -> node.cut(false, true);
      case 5 -> () -> node.cut(true, true);
      default -> () -> node.cut(false, false);
    };
  }

  /** Guards against thresholds that ages reach while all is well. */
  @Property(tries = 50, seed = SEED)
  void refusesNothingAndAsksNoOtherZoneWhileTheStoreIsCalm(@ForAll long seed) {
    var mesh = new KeyValiditySimulation(seed, 4, 8, false);
    for (long time = 5000; time < RUN_MILLIS; time += mesh.randomMillis(400, 9000)) {
      mesh.at(time, mesh::publish);
    }
    mesh.runUntil(RUN_MILLIS);

    assertThat(mesh.nodes.stream().mapToLong(node -> node.refused).sum(), is(0L));
    assertThat(mesh.nodes.stream().mapToLong(node -> node.inquiriesToOtherZones).sum(), is(0L));
    assertThat(mesh.nodes.stream().mapToLong(node -> node.inquiriesToStore).sum(), is(0L));
  }

  /** Guards against a zone that waits for its reader until its own proofs are too old. */
  @Property(tries = 50, seed = SEED)
  void refusesNothingIfTheReaderOfItsZoneGoesSilent(@ForAll long seed) {
    var mesh = new KeyValiditySimulation(seed, 4, 8, false);
    KeyValiditySimulation.Node reader = mesh.nodes.get(0);
    mesh.at(mesh.randomMillis(10_000, 20_000), () -> reader.cut(true, true));
    mesh.runUntil(40_000);

    for (KeyValiditySimulation.Node node : mesh.nodes.subList(1, mesh.nodes.size())) {
      assertThat(node.refused, is(0L));
      assertThat(node.inquiriesToStore, is(0L));
    }
  }

  @Nested
  class WithoutSufficientProof {

    private final KeyValidity validity = new KeyValidity(seconds(5));

    @Test
    void acceptsNothing() {
      assertThat(validity.accepts(7, Duration.ZERO), is(false));
    }

    @Test
    void acceptsNothingBeforeTheProvenVersionIsInForce() {
      validity.record(new Proof(8, seconds(10)), 7);

      assertThat(validity.accepts(7, seconds(10)), is(false));
      assertThat(validity.accepts(8, seconds(10)), is(true));
    }

    @Test
    void goesOnWithTheOlderProofUntilTheNewVersionIsInForce() {
      validity.record(new Proof(7, seconds(9)), 7);
      validity.record(new Proof(8, seconds(10)), 7);

      assertThat(validity.age(7, seconds(11)), is(Optional.of(seconds(2))));
      assertThat(validity.age(8, seconds(11)), is(Optional.of(seconds(1))));
    }

    /** Guards against trust in a store that came back without the version in force. */
    @Test
    void ignoresProofOfAnOlderVersionThanTheOneInForce() {
      validity.record(new Proof(6, seconds(10)), 7);

      assertThat(validity.accepts(7, seconds(10)), is(false));
    }

    @Test
    void acceptsUntilTheBoundLessMargin() {
      validity.record(new Proof(7, seconds(10)), 7);

      assertThat(validity.accepts(7, seconds(14.75)), is(true));
      assertThat(validity.accepts(7, seconds(14.76)), is(false));
    }
  }

  @Nested
  class OnMachineWhoseClocksDisagree {

    private final ElapsedTime elapsed = new ElapsedTime(reading(100, 1000));

    private static ClockReading reading(double monotonicSeconds, double timeOfDaySeconds) {
      return new ClockReading(
          seconds(monotonicSeconds).toNanos(), Instant.EPOCH.plus(seconds(timeOfDaySeconds)));
    }

    @Test
    void countsTheTimeOfSuspension() {
      assertThat(elapsed.advance(reading(101, 1001)), is(seconds(1)));
      assertThat(elapsed.advance(reading(101.5, 1031)), is(seconds(31)));
    }

    @Test
    void countsTheTimeThatTheTimeOfDayIsSetBack() {
      assertThat(elapsed.advance(reading(102, 900)), is(seconds(2)));
      assertThat(elapsed.advance(reading(103, 901)), is(seconds(3)));
    }
  }
}
