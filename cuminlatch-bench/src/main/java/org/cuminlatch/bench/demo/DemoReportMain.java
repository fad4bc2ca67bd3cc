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

/** Program that prints the demo's table; it ends with 1 if a promise was broken or not observed. */
public final class DemoReportMain {

  private static final int EXIT_VIOLATION = 1;
  private static final int EXIT_INVALID = 2;
  private static final ObjectMapper JSON = new ObjectMapper();

  @Option(name = "--directory", required = true, usage = "folder with the demo's reports")
  private Path directory;

  @Option(name = "--good-outcome", usage = "outcome of the move to the good version")
  private String goodOutcome = "";

  @Option(name = "--bad-outcome", usage = "outcome of the move to the bad version")
  private String badOutcome = "";

  @Option(name = "--bad-calls-at-outcome", required = true, usage = "runs of the bad version")
  private long badCallsAtOutcome;

  @Option(name = "--bad-calls-later", required = true, usage = "runs of it at the end of the load")
  private long badCallsLater;

  @Option(name = "--runs-after-drain", required = true, usage = "runs of the drained target")
  private long runsAfterDrain;

  @Option(name = "--runs-at-end", required = true, usage = "runs of the drained target at the end")
  private long runsAtEnd;

  @Option(name = "--control-bytes", usage = "control bytes of a node, in and out; repeatable")
  private List<Long> controlBytes = new ArrayList<>();

  @Option(name = "--control-cpu-micros", usage = "time of a node's control thread; repeatable")
  private List<Long> controlCpuMicros = new ArrayList<>();

  @Option(name = "--resident-kilobytes", usage = "resident memory of a node; repeatable")
  private List<Long> residentKilobytes = new ArrayList<>();

  @Option(name = "--seconds", required = true, usage = "length of the demo")
  private long seconds;

  private DemoReportMain() {}

  /**
   * Prints the table.
   *
   * @param args see the options
   * @throws IOException if a report is missing
   */
  public static void main(String[] args) throws IOException {
    DemoReportMain main = new DemoReportMain();
    try {
      new CmdLineParser(main).parseArgument(args);
    } catch (CmdLineException invalid) {
      System.err.println("demo report: " + invalid.getMessage());
      System.exit(EXIT_INVALID);
    }
    System.exit(main.print() ? 0 : EXIT_VIOLATION);
  }

  private boolean print() throws IOException {
    DemoFigures figures = figures();
    JsonNode movesLoad = read("load-moves.json");
    List<PromiseRow> rows =
        new DemoReport(read("observer.json"), movesLoad, read("load-drain.json"), figures).rows();
    System.out.printf("%n%-64s %8s %10s  %s%n", "promise", "checks", "violations", "");
    rows.forEach(DemoReportMain::printRow);
    printFigures(figures, movesLoad.path("summary"));
    boolean holds = rows.stream().allMatch(PromiseRow::holds);
    System.out.println(holds ? "demo: no violation" : "demo: FAILED");
    return holds;
  }

  private static void printRow(PromiseRow row) {
    System.out.printf(
        "%-64s %8d %10d  %s%n", row.promise(), row.checks(), row.violations(), row.remark());
  }

  private static void printFigures(DemoFigures figures, JsonNode load) {
    System.out.printf(
        "%ncontrol bytes a node, in and out: %.0f B/s over %d s%n",
        figures.controlBytesPerSecond(), figures.seconds());
    System.out.printf(
        "control thread of a node: %.2f %% of a core, start included; largest node: %.0f MB%n",
        100 * figures.controlCpuShare(), figures.largestResidentMegabytes());
    System.out.printf(
        "latency of whole answers during the moves: p50 %d us, p99 %d us%n",
        load.path("p50Micros").asLong(), load.path("p99Micros").asLong());
  }

  private DemoFigures figures() {
    return new DemoFigures(
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
