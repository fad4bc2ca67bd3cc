package org.cuminlatch.bench.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("Simulated calls")
class CallSimulationTests {

  private static final Duration DURATION = Duration.ofSeconds(3);
  private static final long SEED = 42;

  private static SimulationCounters run(SimulatedFleet fleet) {
    return CallSimulation.run(fleet, Policies.MESH, DURATION, SEED);
  }

  @Nested
  class UnderOverload {

    @ParameterizedTest(name = "{0} times the capacity")
    @ValueSource(doubles = {2, 10})
    void goodputStaysNearCapacity(double load) {
      SimulatedFleet fleet = SimulatedFleet.oneZone(load);

      SimulationCounters counters = run(fleet);

      double capacity = fleet.capacity() * DURATION.toSeconds();
      assertThat(counters.callsAnswered() / capacity, greaterThanOrEqualTo(0.9));
      assertThat((double) counters.executions() / counters.callsAnswered(), lessThan(1.05));
    }

    @Test
    void excessCallsAreRefusedAsNotRunAndFewEndUnknown() {
      SimulationCounters counters = run(SimulatedFleet.oneZone(2));

      assertThat((double) counters.callsUnknown() / counters.calls(), lessThan(0.01));
      assertThat((double) counters.callsNotRun() / counters.calls(), greaterThanOrEqualTo(0.4));
    }

    @Test
    void goodputCollapsesWithoutAdmissionControl() {
      SimulatedFleet fleet = SimulatedFleet.oneZone(2);

      SimulationCounters counters =
          CallSimulation.run(fleet, Policies.RANDOM_RETRY, DURATION, SEED);

      double capacity = fleet.capacity() * DURATION.toSeconds();
      assertThat(counters.callsAnswered() / capacity, lessThan(0.5));
    }
  }

  @Nested
  class WithOneSlowTarget {

    @Test
    void tailLatencyAtMostDoubles() {
      SimulatedFleet healthy = SimulatedFleet.oneZone(0.6);
      double healthyP99Millis = run(healthy).millis(99);

      double slowP99Millis = run(healthy.withSlowTarget(0, 10)).millis(99);

      assertThat(slowP99Millis, lessThanOrEqualTo(2 * healthyP99Millis));
    }
  }

  @Nested
  class InTwoRegions {

    @Test
    void noBytesCrossTheLinkWhileEachRegionHasCapacity() {
      SimulationCounters counters = run(SimulatedFleet.twoRegions(0.6, Optional.empty()));

      assertThat(counters.bytesCrossed(), is(0L));
    }

    @Test
    void crossRegionTrafficStaysWithinLinkBudgetWhenOneRegionIsOverloaded() {
      SimulatedFleet fleet = SimulatedFleet.twoRegions(0.8, Optional.of("ege"));

      SimulationCounters counters = run(fleet);

      long bytesPerSecondPerNode = MeshPolicy.LINK_BYTES_PER_SECOND;
      long nodes = 4;
      long burstSeconds = 5;
      long maxBytes = nodes * bytesPerSecondPerNode * (DURATION.toSeconds() + burstSeconds);
      assertThat(counters.bytesCrossed(), lessThanOrEqualTo(maxBytes));
    }
  }
}
