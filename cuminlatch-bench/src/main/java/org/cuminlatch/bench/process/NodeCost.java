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

/** What nodes without calls cost: memory, processor time and control bytes of real processes. */
public final class NodeCost implements Experiment {

  private static final String SIZES = "4,8,12";
  private static final double TICKS_PER_SECOND = 100;
  private static final Pattern BYTES =
      Pattern.compile("\"(control\\.[a-z]+\\.bytes-(?:in|out))\"\\s*:\\s*(\\d+)");

  @Override
  public String name() {
    return "node-cost";
  }

  @Override
  public String summary() {
    return "memory, processor time and control bytes of idle nodes as processes";
  }

  @Override
  public Results run(ExperimentOptions options) {
    Duration length = Duration.ofSeconds(options.longValue("seconds", 20));
    List<List<String>> rows = new ArrayList<>();
    for (String size : options.text("nodes", SIZES).split(",")) {
      rows.add(measure(Integer.parseInt(size), length));
    }
    return new Results(
        "Cost of a node without calls",
        List.of("nodes", "CPU % of a core", "resident MB", "control bytes/s in+out"),
        rows,
        List.of("mean over the nodes, -Xmx48m, each in its first minute after the start"));
  }

  private static List<String> measure(int size, Duration length) {
    try {
      Path directory = Files.createTempDirectory("node-cost");
      try (Mesh mesh = Mesh.start(directory, size)) {
        Thread.sleep(length.toMillis());
        Cost before = Cost.of(mesh);
        Thread.sleep(length.toMillis());
        return Cost.of(mesh).since(before, size, length);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  /** Sums over all nodes. */
  private record Cost(double cpuSeconds, double residentMegabytes, long controlBytes) {

    static Cost of(Mesh mesh) throws IOException, InterruptedException {
      double cpu = 0;
      double resident = 0;
      long bytes = 0;
      for (Instance instance : mesh.instances()) {
        long id = instance.node().id();
        cpu += cpuSeconds(id);
        resident += residentMegabytes(id);
        bytes += controlBytes(Http.get(instance.operatorPort(), "/metrics"));
      }
      return new Cost(cpu, resident, bytes);
    }

    List<String> since(Cost before, int size, Duration length) {
      double seconds = length.toMillis() / 1e3;
      return List.of(
          Integer.toString(size),
          format(100 * (cpuSeconds - before.cpuSeconds) / seconds / size),
          format(residentMegabytes / size),
          format((controlBytes - before.controlBytes) / seconds / size));
    }

    private static String format(double value) {
      return String.format(Locale.ROOT, "%.2f", value);
    }

    private static double cpuSeconds(long id) throws IOException {
      String stat = Files.readString(Path.of("/proc/" + id + "/stat"));
      String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
      return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / TICKS_PER_SECOND;
    }

    private static double residentMegabytes(long id) throws IOException {
      for (String line : Files.readAllLines(Path.of("/proc/" + id + "/status"))) {
        if (line.startsWith("VmRSS:")) {
          return Long.parseLong(line.replaceAll("\\D", "")) / 1e3;
        }
      }
      return 0;
    }

    private static long controlBytes(String metrics) {
      Matcher counter = BYTES.matcher(metrics);
      long sum = 0;
      while (counter.find()) {
        sum += Long.parseLong(counter.group(2));
      }
      return sum;
    }
  }
}
