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

@DisplayName("Calls in virtual time")
class CallSimulationTests {

  private static final Duration LENGTH = Duration.ofSeconds(3);
  private static final long SEED = 42;

  private static SimulationTally run(SimulatedFleet fleet) {
    return CallSimulation.run(fleet, Policies.MESH, LENGTH, SEED);
  }

  @Nested
  class UnderOverloadWithDeadlines {

    @ParameterizedTest(name = "{0} times the capacity")
    @ValueSource(doubles = {2, 10})
    void keepGoodputAtTheCapacity(double load) {
      SimulatedFleet fleet = SimulatedFleet.oneZone(load);

      SimulationTally tally = run(fleet);

      double capacity = fleet.capacity() * LENGTH.toSeconds();
      assertThat(tally.callsAnswered() / capacity, greaterThanOrEqualTo(0.9));
      assertThat((double) tally.executions() / tally.callsAnswered(), lessThan(1.05));
    }

    @Test
    void refuseAsNotRunAndLeaveFewUnknown() {
      SimulationTally tally = run(SimulatedFleet.oneZone(2));

      assertThat((double) tally.callsUnknown() / tally.calls(), lessThan(0.01));
      assertThat((double) tally.callsNotRun() / tally.calls(), greaterThanOrEqualTo(0.4));
    }

    @Test
    void collapseWithoutAdmissionControl() {
      SimulatedFleet fleet = SimulatedFleet.oneZone(2);

      SimulationTally tally = CallSimulation.run(fleet, Policies.BLIND, LENGTH, SEED);

      double capacity = fleet.capacity() * LENGTH.toSeconds();
      assertThat(tally.callsAnswered() / capacity, lessThan(0.5));
    }
  }

  @Nested
  class WithOneSlowTarget {

    @Test
    void keepTheirTailAwayFromIt() {
      SimulatedFleet healthy = SimulatedFleet.oneZone(0.6);
      double healthyTail = run(healthy).millis(99);

      double tail = run(healthy.withSlowTarget(0, 10)).millis(99);

      assertThat(tail, lessThanOrEqualTo(2 * healthyTail));
    }
  }

  @Nested
  class InTwoRegions {

    @Test
    void stayInTheirRegionWhileItCanServe() {
      SimulationTally tally = run(SimulatedFleet.twoRegions(0.6, Optional.empty()));

      assertThat(tally.bytesCrossed(), is(0L));
    }

    @Test
    void keepToTheBudgetOfTheLinkWhenOneRegionIsOverloaded() {
      SimulatedFleet fleet = SimulatedFleet.twoRegions(0.8, Optional.of("ege"));

      SimulationTally tally = run(fleet);

      long perNode = MeshPolicy.LINK_BYTES_PER_SECOND;
      long nodes = 4;
      long bucket = 5;
      long most = nodes * perNode * (LENGTH.toSeconds() + bucket);
      assertThat(tally.bytesCrossed(), lessThanOrEqualTo(most));
    }
  }
}
