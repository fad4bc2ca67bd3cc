package org.cuminlatch.bench.call;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cuminlatch.bench.Experiment;
import org.cuminlatch.bench.ExperimentOptions;
import org.cuminlatch.bench.Results;
import org.cuminlatch.bench.call.CallSimulation.PolicyFactory;

/**
 * Measures goodput (answers within the deadline) under overload against a baseline, in virtual
 * time.
 */
public final class GoodputExperiment implements Experiment {

  private static final List<Double> LOAD_FACTORS = List.of(0.8, 1.0, 2.0, 10.0);

  @Override
  public String name() {
    return "goodput";
  }

  @Override
  public String summary() {
    return "answers within the deadline at up to 10 times the capacity, against blind retries";
  }

  @Override
  public Results run(ExperimentOptions options) {
    Duration duration = Duration.ofSeconds(options.longValue("seconds", 20));
    List<List<String>> rows = new ArrayList<>();
    for (double load : LOAD_FACTORS) {
      SimulatedFleet fleet = SimulatedFleet.oneZone(load);
      for (Map.Entry<String, PolicyFactory> policy :
          List.of(
              Map.entry("cuminlatch", Policies.MESH), Map.entry("blind", Policies.RANDOM_RETRY))) {
        SimulationCounters counters =
            CallSimulation.run(fleet, policy.getValue(), duration, options.seed());
        rows.add(row(policy.getKey(), fleet, counters, duration));
      }
    }
    return new Results(
        "Goodput under overload, 9 targets of 6 slots, 20 ms a request, deadline 500 ms",
        List.of(
            "policy",
            "load / capacity",
            "goodput / capacity",
            "not run / calls",
            "unknown / calls",
            "executions / answer",
            "p50 ms",
            "p99 ms"),
        rows,
        List.of("virtual time"));
  }

  private static List<String> row(
      String policy, SimulatedFleet fleet, SimulationCounters counters, Duration duration) {
    double maxAnswers = fleet.capacity() * duration.toSeconds();
    return List.of(
        policy,
        format(fleet.load()),
        format(counters.callsAnswered() / maxAnswers),
        format((double) counters.callsNotRun() / counters.calls()),
        format((double) counters.callsUnknown() / counters.calls()),
        format((double) counters.executions() / Math.max(1, counters.callsAnswered())),
        format(counters.millis(50)),
        format(counters.millis(99)));
  }

  static String format(double value) {
    return String.format(Locale.ROOT, "%.3f", value);
  }
}
