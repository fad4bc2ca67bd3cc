package org.cuminlatch.bench.spread;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.cuminlatch.core.spread.LogRequests.Stream;

/**
 * Measures a simulated mesh over a window of virtual time and reports totals and means per node.
 */
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
  private static final double BYTES_PER_KIBIBYTE = 1024;
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private final MeshSimulation mesh;
  private long cpuNanos;
  private Duration window = Duration.ZERO;

  Measurement(MeshSimulation mesh) {
    this.mesh = mesh;
    mesh.network.resetCounters();
    mesh.log.resetCounters();
    mesh.drainDelays();
  }

  void run(Duration duration) {
    long startNanos = THREADS.getCurrentThreadCpuTime();
    mesh.run(duration);
    cpuNanos += THREADS.getCurrentThreadCpuTime() - startNanos;
    window = window.plus(duration);
  }

  List<String> row(String scenario) {
    List<Duration> delays = new ArrayList<>(mesh.drainDelays());
    delays.sort(Duration::compareTo);
    double seconds = window.toNanos() / NANOS_PER_SECOND;
    double nodeSeconds = seconds * mesh.size();
    long bytes = mesh.network.total().bytesOut + mesh.network.bytesIn();
    return List.of(
        scenario,
        Integer.toString(mesh.size()),
        quantile(delays, 0.5),
        quantile(delays, 0.99),
        quantile(delays, 1),
        Integer.toString(delays.size()),
        formatInteger((bytes + mesh.log.bytes()) / nodeSeconds),
        formatInteger(mesh.network.maxBytesOfNode() / seconds),
        formatInteger(
            (mesh.network.crossRegionTraffic().bytesOut + mesh.log.crossRegionBytes()) / seconds),
        formatDecimal(mesh.network.total().messages / nodeSeconds),
        formatDecimal(mesh.log.reads() / seconds),
        formatDecimal(mesh.log.appends() / seconds),
        formatDecimal(PERCENT * cpuNanos / NANOS_PER_SECOND / nodeSeconds),
        formatInteger(heapKibibytesPerNode()));
  }

  private double heapKibibytesPerNode() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_KIBIBYTE / mesh.size();
  }

  /** Returns the bytes sent per node and second by type of message, the largest first. */
  String bytesByMessageType() {
    double nodeSeconds = window.toNanos() / NANOS_PER_SECOND * mesh.size();
    StringBuilder text = new StringBuilder();
    mesh.network.trafficByMessageType().entrySet().stream()
        .sorted((a, b) -> Long.compare(b.getValue().bytesOut, a.getValue().bytesOut))
        .forEach(
            entry ->
                text.append(entry.getKey())
                    .append(' ')
                    .append(formatInteger(entry.getValue().bytesOut / nodeSeconds))
                    .append("; "));
    return text + "checkpoints on the log " + mesh.log.size(Stream.CHECKPOINTS);
  }

  static String quantile(List<Duration> sorted, double rank) {
    if (sorted.isEmpty()) {
      return "-";
    }
    int index = (int) Math.ceil(rank * sorted.size()) - 1;
    return formatDecimal(sorted.get(Math.max(0, index)).toNanos() / NANOS_PER_SECOND);
  }

  static String formatDecimal(double value) {
    return String.format(Locale.ROOT, "%.3f", value);
  }

  static String formatInteger(double value) {
    return String.format(Locale.ROOT, "%.0f", value);
  }
}
