package org.cuminlatch.bench.spread;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.cuminlatch.core.spread.LogRequests.Stream;

/** Counters of a mesh over a window of virtual time, and what they come to for each node. */
final class Measurement {

  static final List<String> COLUMNS =
      List.of(
          "scenario",
          "members",
          "p50 s",
          "p99 s",
          "max s",
          "samples",
          "B/s a node in+out",
          "B/s of busiest node",
          "B/s on link",
          "messages/s a node",
          "log reads/s",
          "log appends/s",
          "CPU % of a core a node",
          "heap KB a node");

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double PERCENT = 100;
  private static final double KB = 1024;
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private final Mesh mesh;
  private long cpuNanos;
  private Duration window = Duration.ZERO;

  Measurement(Mesh mesh) {
    this.mesh = mesh;
    mesh.network.resetCounters();
    mesh.log.resetCounters();
    mesh.takeDelays();
  }

  void run(Duration duration) {
    long before = THREADS.getCurrentThreadCpuTime();
    mesh.run(duration);
    cpuNanos += THREADS.getCurrentThreadCpuTime() - before;
    window = window.plus(duration);
  }

  List<String> row(String scenario) {
    List<Duration> delays = new ArrayList<>(mesh.takeDelays());
    delays.sort(Duration::compareTo);
    double seconds = window.toNanos() / NANOS_PER_SECOND;
    double perNode = seconds * mesh.size();
    long bytes = mesh.network.total().bytesOut + mesh.network.bytesIn();
    return List.of(
        scenario,
        Integer.toString(mesh.size()),
        quantile(delays, 0.5),
        quantile(delays, 0.99),
        quantile(delays, 1),
        Integer.toString(delays.size()),
        number((bytes + mesh.log.bytes()) / perNode),
        number(mesh.network.largestBytesOfNode() / seconds),
        number((mesh.network.link().bytesOut + mesh.log.linkBytes()) / seconds),
        decimal(mesh.network.total().messages / perNode),
        decimal(mesh.log.reads() / seconds),
        decimal(mesh.log.appends() / seconds),
        decimal(PERCENT * cpuNanos / NANOS_PER_SECOND / perNode),
        number(heapPerNode()));
  }

  private double heapPerNode() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return (runtime.totalMemory() - runtime.freeMemory()) / KB / mesh.size();
  }

  /** Returns the kinds of messages with their share of the bytes, the largest first. */
  String kinds() {
    double perNode = window.toNanos() / NANOS_PER_SECOND * mesh.size();
    StringBuilder text = new StringBuilder();
    mesh.network.byKind().entrySet().stream()
        .sorted((a, b) -> Long.compare(b.getValue().bytesOut, a.getValue().bytesOut))
        .forEach(
            kind ->
                text.append(kind.getKey())
                    .append(' ')
                    .append(number(kind.getValue().bytesOut / perNode))
                    .append("; "));
    return text + "checkpoints on the log " + mesh.log.size(Stream.CHECKPOINTS);
  }

  static String quantile(List<Duration> sorted, double share) {
    if (sorted.isEmpty()) {
      return "-";
    }
    int index = (int) Math.ceil(share * sorted.size()) - 1;
    return decimal(sorted.get(Math.max(0, index)).toNanos() / NANOS_PER_SECOND);
  }

  static String decimal(double value) {
    return String.format(Locale.ROOT, "%.3f", value);
  }

  static String number(double value) {
    return String.format(Locale.ROOT, "%.0f", value);
  }
}
