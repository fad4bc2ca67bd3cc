package org.cuminlatch.bench.config;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.cuminlatch.bench.Experiment;
import org.cuminlatch.bench.ExperimentOptions;
import org.cuminlatch.bench.Results;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.ConfigurationReplica;
import org.cuminlatch.core.config.LogRecord;
import org.cuminlatch.wire.config.ConfigurationCodecs;

/**
 * Measures the cost of folding records, building snapshots, hashing and checkpointing on a node.
 */
public final class ConfigurationCostExperiment implements Experiment {

  private static final int BASE_SERVICES = 160;
  private static final int BASE_ROUTES = 1_000;
  private static final int BASE_MOVES = 500;
  private static final int CHANGES_PER_DAY = 1_000;
  private static final long DEFAULT_CHANGES = 2_000;
  private static final double[] SCALES = {0.25, 0.5, 1, 2};
  private static final double NANOS_PER_MICRO = 1_000;
  private static final double NANOS_PER_SECOND = 1e9;

  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

  /** Creates the experiment. */
  public ConfigurationCostExperiment() {}

  @Override
  public String name() {
    return "configuration-cost";
  }

  @Override
  public String summary() {
    return "CPU time and bytes of fold, snapshot and checkpoint by size (-P changes=2000)";
  }

  @Override
  public Results run(ExperimentOptions options) {
    int changes = (int) options.longValue("changes", DEFAULT_CHANGES);
    measure(1, changes);
    List<List<String>> rows = new ArrayList<>();
    for (double scale : SCALES) {
      rows.add(measure(scale, changes));
    }
    return new Results(
        "Configuration: cost on one node by size",
        List.of(
            "services",
            "routes",
            "moves",
            "record in the first fold, us",
            "record and snapshot with hash, us",
            "checkpoint, KB",
            "restore, ms",
            "1,000 changes a day, s of processor"),
        rows,
        List.of(
            "CPU time of the measuring thread, after one warm-up run",
            "snapshot and hash are built after every record; a node builds them once per burst"));
  }

  private List<String> measure(double scale, int changes) {
    int services = (int) (BASE_SERVICES * scale);
    int routes = (int) (BASE_ROUTES * scale);
    int moves = (int) (BASE_MOVES * scale);
    SampleLog log = SampleLog.of(services, routes, moves);
    ConfigurationReplica replica = ConfigurationCodecs.replica(event -> {});
    List<LogRecord> initialRecords = List.copyOf(log.records());
    double foldNanos =
        (double) cpuNanos(() -> replica.fold(initialRecords)) / initialRecords.size();
    List<LogRecord> changedRecords = new ArrayList<>();
    for (int i = 0; i < changes; i++) {
      changedRecords.add(log.appendRouteChange(i % routes));
    }
    long changeNanos = cpuNanos(() -> foldAndSnapshotEach(replica, changedRecords));
    Bytes checkpoint = replica.checkpoint();
    ConfigurationReplica restored = ConfigurationCodecs.replica(event -> {});
    final long restoreNanos = cpuNanos(() -> restored.restore(checkpoint));
    double nanosPerChange = (double) changeNanos / changes;
    return List.of(
        String.valueOf(services),
        String.valueOf(routes),
        String.valueOf(moves),
        formatDecimal(foldNanos / NANOS_PER_MICRO),
        formatDecimal(nanosPerChange / NANOS_PER_MICRO),
        formatDecimal(checkpoint.length() / 1_000.0),
        formatDecimal(restoreNanos / NANOS_PER_MICRO / 1_000),
        formatDecimal(nanosPerChange * CHANGES_PER_DAY / NANOS_PER_SECOND));
  }

  private static void foldAndSnapshotEach(ConfigurationReplica replica, List<LogRecord> records) {
    for (LogRecord record : records) {
      replica.fold(List.of(record));
      replica.snapshot();
    }
  }

  private long cpuNanos(Runnable task) {
    long startNanos = threads.getCurrentThreadCpuTime();
    task.run();
    return threads.getCurrentThreadCpuTime() - startNanos;
  }

  private static String formatDecimal(double value) {
    return String.format(Locale.ROOT, "%.2f", value);
  }
}
