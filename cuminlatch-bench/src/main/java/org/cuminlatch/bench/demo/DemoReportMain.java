package org.cuminlatch.bench.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Program that prints the demo's table; it exits with 1 if a guarantee was violated or never
 * checked.
 */
public final class DemoReportMain {

  private static final int EXIT_VIOLATION = 1;
  private static final int EXIT_USAGE = 2;
  private static final ObjectMapper JSON = new ObjectMapper();

  @Option(name = "--directory", required = true, usage = "directory with the reports of the demo")
  private Path directory;

  @Option(name = "--good-outcome", usage = "outcome of the move to the good version")
  private String goodOutcome = "";

  @Option(name = "--bad-outcome", usage = "outcome of the move to the bad version")
  private String badOutcome = "";

  @Option(
      name = "--bad-calls-at-outcome",
      required = true,
      usage = "executions of the bad version until its move ended")
  private long badCallsAtOutcome;

  @Option(
      name = "--bad-calls-later",
      required = true,
      usage = "executions of the bad version until the end of the load")
  private long badCallsLater;

  @Option(
      name = "--runs-after-drain",
      required = true,
      usage = "executions of the drained target 3 s after the drain began")
  private long runsAfterDrain;

  @Option(
      name = "--runs-at-end",
      required = true,
      usage = "executions of the drained target until the end")
  private long runsAtEnd;

  @Option(
      name = "--control-bytes",
      usage = "control bytes that a node sent and received; repeatable")
  private List<Long> controlBytes = new ArrayList<>();

  @Option(name = "--control-cpu-micros", usage = "CPU time of a node's control thread; repeatable")
  private List<Long> controlCpuMicros = new ArrayList<>();

  @Option(name = "--resident-kilobytes", usage = "resident memory of a node; repeatable")
  private List<Long> residentKilobytes = new ArrayList<>();

  @Option(name = "--seconds", required = true, usage = "duration of the demo")
  private long seconds;

  private DemoReportMain() {}

  /**
   * Prints the table.
   *
   * @param args command-line options
   * @throws IOException if a report cannot be read
   */
  public static void main(String[] args) throws IOException {
    DemoReportMain main = new DemoReportMain();
    try {
      new CmdLineParser(main).parseArgument(args);
    } catch (CmdLineException invalid) {
      System.err.println("demo report: " + invalid.getMessage());
      System.exit(EXIT_USAGE);
    }
    System.exit(main.print() ? 0 : EXIT_VIOLATION);
  }

  private boolean print() throws IOException {
    DemoMeasurements measurements = measurements();
    JsonNode movesLoad = read("load-moves.json");
    List<GuaranteeRow> rows =
        new DemoReport(read("observer.json"), movesLoad, read("load-drain.json"), measurements)
            .rows();
    System.out.printf("%n%-64s %8s %10s  %s%n", "guarantee", "checks", "violations", "");
    rows.forEach(DemoReportMain::printRow);
    printMeasurements(measurements, movesLoad.path("summary"));
    boolean holds = rows.stream().allMatch(GuaranteeRow::holds);
    System.out.println(holds ? "demo: no violation" : "demo: FAILED");
    return holds;
  }

  private static void printRow(GuaranteeRow row) {
    System.out.printf(
        "%-64s %8d %10d  %s%n", row.guarantee(), row.checks(), row.violations(), row.remark());
  }

  private static void printMeasurements(DemoMeasurements measurements, JsonNode load) {
    System.out.printf(
        "%ncontrol bytes sent and received per node: %.0f B/s over %d s%n",
        measurements.controlBytesPerSecond(), measurements.seconds());
    System.out.printf(
        "control thread of a node: %.2f %% of a core, startup included; largest node: %.0f MiB%n",
        100 * measurements.controlCpuShare(), measurements.maxResidentMebibytes());
    System.out.printf(
        "latency of complete answers during the moves: p50 %d us, p99 %d us%n",
        load.path("p50Micros").asLong(), load.path("p99Micros").asLong());
  }

  private DemoMeasurements measurements() {
    return new DemoMeasurements(
        goodOutcome,
        badOutcome,
        badCallsAtOutcome,
        badCallsLater,
        runsAfterDrain,
        runsAtEnd,
        controlBytes,
        controlCpuMicros,
        residentKilobytes,
        seconds);
  }

  private JsonNode read(String file) throws IOException {
    return JSON.readTree(directory.resolve(file).toFile());
  }
}
