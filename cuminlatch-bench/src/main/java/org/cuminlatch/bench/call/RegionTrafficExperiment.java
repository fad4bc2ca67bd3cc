package org.cuminlatch.bench.call;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cuminlatch.bench.Experiment;
import org.cuminlatch.bench.ExperimentOptions;
import org.cuminlatch.bench.Results;

/** Measures the traffic that crosses the link between the regions, in virtual time. */
public final class RegionTrafficExperiment implements Experiment {

  private static final List<Double> TWO_REGION_LOAD_FACTORS = List.of(0.3, 0.6, 0.8, 0.9);
  private static final List<Double> ONE_REGION_LOAD_FACTORS = List.of(0.3, 0.45, 0.6);

  @Override
  public String name() {
    return "region-traffic";
  }

  @Override
  public String summary() {
    return "share of calls and bytes that cross the link between the regions";
  }

  @Override
  public Results run(ExperimentOptions options) {
    Duration duration = Duration.ofSeconds(options.longValue("seconds", 20));
    List<List<String>> rows = new ArrayList<>();
    for (double load : TWO_REGION_LOAD_FACTORS) {
      SimulatedFleet fleet = SimulatedFleet.twoRegions(load, Optional.empty());
      rows.add(row("both regions", fleet, duration, options.seed()));
    }
    for (double load : ONE_REGION_LOAD_FACTORS) {
      SimulatedFleet fleet = SimulatedFleet.twoRegions(load, Optional.of("ege"));
      rows.add(row("one region", fleet, duration, options.seed()));
    }
    return new Results(
        "Traffic across the link, 8 targets over 2 regions of 2 zones",
        List.of(
            "callers in",
            "load / capacity",
            "calls crossed",
            "bytes crossed",
            "bytes/s crossed",
            "answered / calls",
            "p99 ms"),
        rows,
        List.of("virtual time; link budget 100,000 bytes/s per node"));
  }

  private static List<String> row(
      String callers, SimulatedFleet fleet, Duration duration, long seed) {
    SimulationCounters counters = CallSimulation.run(fleet, Policies.MESH, duration, seed);
    return List.of(
        callers,
        GoodputExperiment.format(fleet.load()),
        GoodputExperiment.format(counters.shareOfCallsCrossed()),
        GoodputExperiment.format(counters.shareOfBytesCrossed()),
        Long.toString(counters.bytesCrossed() / duration.toSeconds()),
        GoodputExperiment.format((double) counters.callsAnswered() / counters.calls()),
        GoodputExperiment.format(counters.millis(99)));
  }
}
