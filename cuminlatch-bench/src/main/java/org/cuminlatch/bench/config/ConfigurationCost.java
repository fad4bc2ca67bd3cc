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

/** Measures what a node spends on folding records, on snapshots, hashes and checkpoints. */
public final class ConfigurationCost implements Experiment {

  private static final int SERVICES = 160;
  private static final int ROUTES = 1_000;
  private static final int MOVES = 500;
  private static final int CHANGES_A_DAY = 1_000;
  private static final long CHANGES_MEASURED = 2_000;
  private static final double[] SCALES = {0.25, 0.5, 1, 2};
  private static final double NANOS_PER_MICRO = 1_000;
  private static final double NANOS_PER_SECOND = 1e9;

  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

  /** Creates the experiment. */
  public ConfigurationCost() {}

  @Override
  public String name() {
    return "configuration-cost";
  }

  @Override
  public String summary() {
    return "processor time and bytes of fold, snapshot and checkpoint by size (-P changes=2000)";
  }

  @Override
  public Results run(ExperimentOptions options) {
    int changes = (int) options.longValue("changes", CHANGES_MEASURED);
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
            "processor time of the measuring thread, after one warm-up run",
            "a snapshot with its hash is built after every record; in bursts it is built once"));
  }

  private List<String> measure(double scale, int changes) {
    int services = (int) (SERVICES * scale);
    int routes = (int) (ROUTES * scale);
    int moves = (int) (MOVES * scale);
    SampleLog log = SampleLog.of(services, routes, moves);
    ConfigurationReplica replica = ConfigurationCodecs.replica(event -> {});
    List<LogRecord> first = List.copyOf(log.records());
    double foldNanos = (double) processorNanos(() -> replica.fold(first)) / first.size();
    List<LogRecord> changed = new ArrayList<>();
    for (int i = 0; i < changes; i++) {
      changed.add(log.change(i % routes));
    }
    long changeNanos = processorNanos(() -> foldOneByOne(replica, changed));
    Bytes checkpoint = replica.checkpoint();
    ConfigurationReplica restored = ConfigurationCodecs.replica(event -> {});
    final long restoreNanos = processorNanos(() -> restored.restore(checkpoint));
    double perChange = (double) changeNanos / changes;
    return List.of(
        String.valueOf(services),
        String.valueOf(routes),
        String.valueOf(moves),
        number(foldNanos / NANOS_PER_MICRO),
        number(perChange / NANOS_PER_MICRO),
        number(checkpoint.length() / 1_000.0),
        number(restoreNanos / NANOS_PER_MICRO / 1_000),
        number(perChange * CHANGES_A_DAY / NANOS_PER_SECOND));
  }

  private static void foldOneByOne(ConfigurationReplica replica, List<LogRecord> records) {
    for (LogRecord record : records) {
      replica.fold(List.of(record));
      replica.snapshot();
    }
  }

  private long processorNanos(Runnable work) {
    long before = threads.getCurrentThreadCpuTime();
    work.run();
    return threads.getCurrentThreadCpuTime() - before;
  }

  private static String number(double value) {
    return String.format(Locale.ROOT, "%.2f", value);
  }
}
