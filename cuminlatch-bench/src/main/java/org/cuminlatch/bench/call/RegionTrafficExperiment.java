package org.cuminlatch.bench.call;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cuminlatch.bench.Experiment;
import org.cuminlatch.bench.ExperimentOptions;
import org.cuminlatch.bench.Results;

/** Measures what crosses the link between the regions, in virtual time. */
public final class RegionTrafficExperiment implements Experiment {

  private static final List<Double> EVEN_LOADS = List.of(0.3, 0.6, 0.8, 0.9);
  private static final List<Double> ONE_SIDED_LOADS = List.of(0.3, 0.45, 0.6);

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
    Duration length = Duration.ofSeconds(options.longValue("seconds", 20));
    List<List<String>> rows = new ArrayList<>();
    for (double load : EVEN_LOADS) {
      SimulatedFleet fleet = SimulatedFleet.twoRegions(load, Optional.empty());
      rows.add(row("both regions", fleet, length, options.seed()));
    }
    for (double load : ONE_SIDED_LOADS) {
      SimulatedFleet fleet = SimulatedFleet.twoRegions(load, Optional.of("ege"));
      rows.add(row("one region", fleet, length, options.seed()));
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
        List.of("virtual time; budget of the link 100,000 bytes/s a node"));
  }

  private static List<String> row(
      String callers, SimulatedFleet fleet, Duration length, long seed) {
    SimulationTally tally = CallSimulation.run(fleet, Policies.MESH, length, seed);
    return List.of(
        callers,
        GoodputExperiment.format(fleet.load()),
        GoodputExperiment.format(tally.shareOfCallsCrossed()),
        GoodputExperiment.format(tally.shareOfBytesCrossed()),
        Long.toString(tally.bytesCrossed() / length.toSeconds()),
        GoodputExperiment.format((double) tally.callsAnswered() / tally.calls()),
        GoodputExperiment.format(tally.millis(99)));
  }
}
