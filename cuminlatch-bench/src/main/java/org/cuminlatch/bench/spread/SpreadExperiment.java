package org.cuminlatch.bench.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.cuminlatch.bench.Experiment;
import org.cuminlatch.bench.ExperimentOptions;
import org.cuminlatch.bench.Results;

/**
 * Measures convergence and control cost of membership and configuration spread by number of members
 * and by fault, against a baseline in which every node reads the log directly.
 *
 * <p>Parameters: {@code members}, a comma-separated list of mesh sizes; {@code scenarios}, a
 * comma-separated list of names.
 */
public final class SpreadExperiment implements Experiment {

  private static final String DEFAULT_SIZES = "30,100,300,900";
  private static final String DEFAULT_SCENARIOS = "calm,loss,herd,cut,baseline";
  private static final Duration CHANGE_INTERVAL = Duration.ofSeconds(86);
  private static final Duration WARM_UP_DURATION = Duration.ofSeconds(60);
  private static final Duration STARTUP_WINDOW = Duration.ofSeconds(20);
  private static final Duration MASS_RESTART_WINDOW = Duration.ofSeconds(5);
  private static final Duration PARTITION_DURATION = Duration.ofMinutes(5);
  private static final int PUBLISHED_CHANGES = 2;
  private static final double MESSAGE_LOSS_RATE = 0.1;

  @Override
  public String name() {
    return "spread";
  }

  @Override
  public String summary() {
    return "convergence and control cost by members and faults; -P members=30 -P scenarios=calm";
  }

  @Override
  public Results run(ExperimentOptions options) {
    List<List<String>> rows = new ArrayList<>();
    List<String> notes = new ArrayList<>();
    notes.add("bytes include IP, UDP and TCP headers and requests to the log");
    notes.add("CPU time includes the simulation; heap includes the event queue");
    for (String scenario : options.text("scenarios", DEFAULT_SCENARIOS).split(",")) {
      for (int size : sizes(options)) {
        runScenario(scenario, size, options.seed(), rows, notes);
        System.err.println(String.join(" | ", rows.get(rows.size() - 1)));
      }
    }
    return new Results("Spread of configuration", Measurement.COLUMNS, rows, notes);
  }

  private static List<Integer> sizes(ExperimentOptions options) {
    return Stream.of(options.text("members", DEFAULT_SIZES).split(","))
        .map(Integer::valueOf)
        .toList();
  }

  private static void runScenario(
      String scenario, int size, long seed, List<List<String>> rows, List<String> notes) {
    if (scenario.equals("baseline")) {
      rows.add(new LogPollingBaseline(size, seed).run());
      return;
    }
    MeshSimulation mesh = new MeshSimulation(size, seed);
    mesh.fillLog();
    mesh.startAll(STARTUP_WINDOW);
    Measurement startup = new Measurement(mesh);
    startup.run(WARM_UP_DURATION);
    rows.add(startup.row("start before " + scenario));
    notes.add(
        "start " + size + ": bytes sent per node and second: " + startup.bytesByMessageType());
    String notePrefix = scenario + " " + size + ": after " + WARM_UP_DURATION.toSeconds() + " s ";
    notes.add(notePrefix + mesh.countWithAllMembers() + " nodes had all members");
    Measurement measurement = new Measurement(mesh);
    switch (scenario) {
      case "calm" -> publishChanges(mesh, measurement);
      case "loss" -> publishChangesUnderLoss(mesh, measurement);
      case "herd" -> restartNodes(mesh, measurement, 1);
      case "herd-half" -> restartNodes(mesh, measurement, 2);
      case "cut" -> partitionRegions(mesh, measurement);
      default -> throw new IllegalArgumentException("unknown scenario: " + scenario);
    }
    rows.add(measurement.row(scenario));
    notes.add(
        scenario
            + " "
            + size
            + ": bytes sent per node and second: "
            + measurement.bytesByMessageType()
            + "; at the end "
            + mesh.countWithAllMembers()
            + " nodes had all members, "
            + mesh.countBehind(mesh.logSize())
            + " were behind; in force at the reader: "
            + mesh.versionInForceAtReader());
  }

  private static void publishChanges(MeshSimulation mesh, Measurement measurement) {
    for (int i = 0; i < PUBLISHED_CHANGES; i++) {
      mesh.publish();
      measurement.run(CHANGE_INTERVAL);
    }
  }

  private static void publishChangesUnderLoss(MeshSimulation mesh, Measurement measurement) {
    mesh.network.setLossRate(MESSAGE_LOSS_RATE);
    publishChanges(mesh, measurement);
  }

  private static void restartNodes(MeshSimulation mesh, Measurement measurement, int nth) {
    mesh.restart(index -> index % nth == 0, MASS_RESTART_WINDOW);
    measurement.run(Duration.ofSeconds(1));
    mesh.publish();
    measurement.run(CHANGE_INTERVAL);
  }

  private static void partitionRegions(MeshSimulation mesh, Measurement measurement) {
    mesh.setPartitioned(true);
    measurement.run(PARTITION_DURATION);
    mesh.publish();
    measurement.run(Duration.ofSeconds(30));
    mesh.drainDelays();
    mesh.setPartitioned(false);
    mesh.restartConvergenceClock();
    measurement.run(CHANGE_INTERVAL);
  }
}
