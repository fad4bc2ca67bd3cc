package org.cuminlatch.bench.call;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cuminlatch.bench.Experiment;
import org.cuminlatch.bench.ExperimentOptions;
import org.cuminlatch.bench.Results;
import org.cuminlatch.bench.call.CallSimulation.PolicyFactory;

/** Measures tail latency while one of nine targets is ten times slower, in virtual time. */
public final class SlowTargetExperiment implements Experiment {

  private static final double LOAD_FACTOR = 0.6;
  private static final int SLOW_FACTOR = 10;

  @Override
  public String name() {
    return "slow-target";
  }

  @Override
  public String summary() {
    return "tail latency while one of nine targets is slow";
  }

  @Override
  public Results run(ExperimentOptions options) {
    Duration duration = Duration.ofSeconds(options.longValue("seconds", 60));
    SimulatedFleet healthy = SimulatedFleet.oneZone(LOAD_FACTOR);
    List<List<String>> rows = new ArrayList<>();
    for (Map.Entry<String, PolicyFactory> policy :
        List.of(
            Map.entry("cuminlatch", Policies.MESH), Map.entry("blind", Policies.RANDOM_RETRY))) {
      rows.add(row(policy, "none", healthy, duration, options.seed()));
      SimulatedFleet slow = healthy.withSlowTarget(0, SLOW_FACTOR);
      rows.add(row(policy, "one of nine", slow, duration, options.seed()));
    }
    return new Results(
        "Tail at 0.6 of the capacity, slow target 10 times as slow",
        List.of("policy", "slow target", "p50 ms", "p99 ms", "p99.9 ms", "answered / calls"),
        rows,
        List.of("virtual time"));
  }

  private static List<String> row(
      Map.Entry<String, PolicyFactory> policy,
      String slow,
      SimulatedFleet fleet,
      Duration duration,
      long seed) {
    SimulationCounters counters = CallSimulation.run(fleet, policy.getValue(), duration, seed);
    return List.of(
        policy.getKey(),
        slow,
        GoodputExperiment.format(counters.millis(50)),
        GoodputExperiment.format(counters.millis(99)),
        GoodputExperiment.format(counters.millis(99.9)),
        GoodputExperiment.format((double) counters.callsAnswered() / counters.calls()));
  }
}
