package org.cuminlatch.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cuminlatch.bench.call.AddedLatencyExperiment;
import org.cuminlatch.bench.call.AttemptIdentityExperiment;
import org.cuminlatch.bench.call.GoodputExperiment;
import org.cuminlatch.bench.call.RegionTrafficExperiment;
import org.cuminlatch.bench.call.SlowTargetExperiment;
import org.cuminlatch.bench.call.StreamMemoryExperiment;
import org.cuminlatch.bench.config.ConfigurationCostExperiment;
import org.cuminlatch.bench.move.MoveExperiment;
import org.cuminlatch.bench.process.NodeCostExperiment;
import org.cuminlatch.bench.spread.SpreadExperiment;

/** The experiments that the bench can run. */
final class Experiments {

  private static final List<Experiment> ALL = new ArrayList<>();

  static {
    ALL.add(new CallerBaselineExperiment());
    ALL.add(new NodeCostExperiment());
    ALL.add(new SpreadExperiment());
    ALL.add(new MoveExperiment());
    ALL.add(new ConfigurationCostExperiment());
    ALL.add(new AddedLatencyExperiment());
    ALL.add(new GoodputExperiment());
    ALL.add(new SlowTargetExperiment());
    ALL.add(new RegionTrafficExperiment());
    ALL.add(new AttemptIdentityExperiment());
    ALL.add(new StreamMemoryExperiment());
  }

  private Experiments() {}

  static List<Experiment> all() {
    return List.copyOf(ALL);
  }

  static Optional<Experiment> findByName(String name) {
    return ALL.stream().filter(experiment -> experiment.name().equals(name)).findFirst();
  }
}
