package org.cuminlatch.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cuminlatch.bench.call.AddedLatency;
import org.cuminlatch.bench.call.AttemptIdentity;
import org.cuminlatch.bench.call.Goodput;
import org.cuminlatch.bench.call.RegionTraffic;
import org.cuminlatch.bench.call.SlowTarget;
import org.cuminlatch.bench.call.StreamMemory;
import org.cuminlatch.bench.config.ConfigurationCost;
import org.cuminlatch.bench.move.MoveExperiment;
import org.cuminlatch.bench.process.NodeCost;
import org.cuminlatch.bench.spread.SpreadExperiment;

/** The experiments that the bench can run. */
final class Experiments {

  private static final List<Experiment> ALL = new ArrayList<>();

  static {
    ALL.add(new CallerExperiment());
    ALL.add(new NodeCost());
    ALL.add(new SpreadExperiment());
    ALL.add(new MoveExperiment());
    ALL.add(new ConfigurationCost());
    ALL.add(new AddedLatency());
    ALL.add(new Goodput());
    ALL.add(new SlowTarget());
    ALL.add(new RegionTraffic());
    ALL.add(new AttemptIdentity());
    ALL.add(new StreamMemory());
  }

  private Experiments() {}

  static List<Experiment> all() {
    return List.copyOf(ALL);
  }

  static Optional<Experiment> findByName(String name) {
    return ALL.stream().filter(experiment -> experiment.name().equals(name)).findFirst();
  }
}
