package org.cuminlatch.bench.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cuminlatch.bench.Experiment;
import org.cuminlatch.bench.ExperimentOptions;
import org.cuminlatch.bench.Results;

/** Measures memory, CPU time and control traffic of idle nodes in separate processes. */
public final class NodeCostExperiment implements Experiment {

  private static final String DEFAULT_SIZES = "4,8,12";
  private static final double TICKS_PER_SECOND = 100;
  private static final Pattern CONTROL_BYTES_METRIC =
      Pattern.compile("\"(control\\.[a-z]+\\.bytes-(?:in|out))\"\\s*:\\s*(\\d+)");

  @Override
  public String name() {
    return "node-cost";
  }

  @Override
  public String summary() {
    return "memory, CPU time and control bytes of idle nodes in separate processes";
  }

  @Override
  public Results run(ExperimentOptions options) {
    Duration duration = Duration.ofSeconds(options.longValue("seconds", 20));
    List<List<String>> rows = new ArrayList<>();
    for (String size : options.text("nodes", DEFAULT_SIZES).split(",")) {
      rows.add(measure(Integer.parseInt(size), duration));
    }
    return new Results(
        "Cost of a node without calls",
        List.of("nodes", "CPU % of a core", "resident MB", "control bytes/s in+out"),
        rows,
        List.of("mean over the nodes, -Xmx48m, each in its first minute after startup"));
  }

  private static List<String> measure(int size, Duration duration) {
    try {
      Path directory = Files.createTempDirectory("node-cost");
      try (ProcessMesh mesh = ProcessMesh.start(directory, size)) {
        Thread.sleep(duration.toMillis());
        ResourceUsage earlier = ResourceUsage.of(mesh);
        Thread.sleep(duration.toMillis());
        return ResourceUsage.of(mesh).since(earlier, size, duration);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  /** Resource usage summed over all nodes. */
  private record ResourceUsage(double cpuSeconds, double residentMegabytes, long controlBytes) {

    static ResourceUsage of(ProcessMesh mesh) throws IOException, InterruptedException {
      double cpu = 0;
      double resident = 0;
      long bytes = 0;
      for (Instance instance : mesh.instances()) {
        long pid = instance.node().pid();
        cpu += cpuSeconds(pid);
        resident += residentMegabytes(pid);
        bytes += controlBytes(LoopbackHttp.get(instance.operatorPort(), "/metrics"));
      }
      return new ResourceUsage(cpu, resident, bytes);
    }

    List<String> since(ResourceUsage earlier, int size, Duration duration) {
      double seconds = duration.toMillis() / 1e3;
      return List.of(
          Integer.toString(size),
          format(100 * (cpuSeconds - earlier.cpuSeconds) / seconds / size),
          format(residentMegabytes / size),
          format((controlBytes - earlier.controlBytes) / seconds / size));
    }

    private static String format(double value) {
      return String.format(Locale.ROOT, "%.2f", value);
    }

    private static double cpuSeconds(long pid) throws IOException {
      String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
      String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
      return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / TICKS_PER_SECOND;
    }

    private static double residentMegabytes(long pid) throws IOException {
      for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
        if (line.startsWith("VmRSS:")) {
          return Long.parseLong(line.replaceAll("\\D", "")) / 1e3;
        }
      }
      return 0;
    }

    private static long controlBytes(String metrics) {
      Matcher counter = CONTROL_BYTES_METRIC.matcher(metrics);
      long sum = 0;
      while (counter.find()) {
        sum += Long.parseLong(counter.group(2));
      }
      return sum;
    }
  }
}
