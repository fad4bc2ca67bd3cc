package org.cuminlatch.testkit.observe;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Program that checks the configuration of nodes until a file exists, then writes a report. */
public final class ObserverMain {

  private static final int EXIT_USAGE = 2;
  private static final Duration MAX_RUN_DURATION = Duration.ofMinutes(10);

  @Option(
      name = "--node",
      required = true,
      usage = "NAME=host:port of operator pages; can be repeated")
  private List<String> nodes = new ArrayList<>();

  @Option(name = "--period-millis", usage = "interval between polling rounds in ms")
  private long periodMillis = 200;

  @Option(name = "--until", required = true, usage = "stop when this file exists")
  private Path until;

  @Option(name = "--out", required = true, usage = "output file for the JSON report")
  private Path out;

  private final ConfigurationChecker checker = new ConfigurationChecker();
  private final long startNanos = System.nanoTime();

  private ObserverMain() {}

  /**
   * Runs the observer.
   *
   * @param args command line
   * @throws IOException if the report cannot be written
   * @throws InterruptedException if the observer is interrupted
   */
  public static void main(String[] args) throws IOException, InterruptedException {
    ObserverMain program = new ObserverMain();
    CmdLineParser parser = new CmdLineParser(program);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException invalid) {
      System.err.println("observer: " + invalid.getMessage());
      System.exit(EXIT_USAGE);
    }
    program.observe();
    program.writeReport();
  }

  private void observe() throws InterruptedException {
    HttpClient client = HttpClient.newBuilder().connectTimeout(Duration.ofMillis(500)).build();
    List<NodePageReader> nodeReaders =
        nodes.stream()
            .map(node -> node.split("=", 2))
            .map(pair -> NodePageReader.of(client, pair[0], pair[1]))
            .toList();
    while (!Files.exists(until) && elapsed().compareTo(MAX_RUN_DURATION) < 0) {
      checker.checkRound(
          nodeReaders.stream()
              .map(reader -> reader.sample(elapsed()))
              .flatMap(Optional::stream)
              .toList());
      Thread.sleep(periodMillis);
    }
  }

  private void writeReport() throws IOException {
    Map<String, Object> report = new LinkedHashMap<>();
    report.put("samples", checker.samples());
    report.put("violations", checker.violations());
    report.put("unsettledVersions", checker.unsettledVersions());
    report.put(
        "convergenceMillis", checker.convergenceTimes().stream().map(Duration::toMillis).toList());
    new ObjectMapper().writerWithDefaultPrettyPrinter().writeValue(out.toFile(), report);
  }

  private Duration elapsed() {
    return Duration.ofNanos(System.nanoTime() - startNanos);
  }
}
