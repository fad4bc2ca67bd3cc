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

/** Program that watches the configuration of nodes until a file appears, then writes a report. */
public final class ObserverMain {

  private static final int EXIT_INVALID = 2;
  private static final Duration LONGEST_RUN = Duration.ofMinutes(10);

  @Option(name = "--node", required = true, usage = "NAME=host:port of operator pages; repeatable")
  private List<String> nodes = new ArrayList<>();

  @Option(name = "--period-millis", usage = "time between two rounds")
  private long periodMillis = 200;

  @Option(name = "--until", required = true, usage = "end when this file exists")
  private Path until;

  @Option(name = "--out", required = true, usage = "file for the report, JSON")
  private Path out;

  private final ConfigurationWatch watch = new ConfigurationWatch();
  private final long startNanos = System.nanoTime();

  private ObserverMain() {}

  /**
   * Runs the observer.
   *
   * @param args see the options
   * @throws IOException if the report cannot be written
   * @throws InterruptedException if the observer is interrupted
   */
  public static void main(String[] args) throws IOException, InterruptedException {
    ObserverMain main = new ObserverMain();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException invalid) {
      System.err.println("observer: " + invalid.getMessage());
      System.exit(EXIT_INVALID);
    }
    main.observe();
    main.write();
  }

  private void observe() throws InterruptedException {
    HttpClient client = HttpClient.newBuilder().connectTimeout(Duration.ofMillis(500)).build();
    List<NodePages> pages =
        nodes.stream()
            .map(node -> node.split("=", 2))
            .map(pair -> NodePages.of(client, pair[0], pair[1]))
            .toList();
    while (!Files.exists(until) && elapsed().compareTo(LONGEST_RUN) < 0) {
      watch.takeRound(
          pages.stream().map(p -> p.sample(elapsed())).flatMap(Optional::stream).toList());
      Thread.sleep(periodMillis);
    }
  }

  private void write() throws IOException {
    Map<String, Object> report = new LinkedHashMap<>();
    report.put("samples", watch.samples());
    report.put("violations", watch.violations());
    report.put("unsettledVersions", watch.unsettled());
    report.put("convergenceMillis", watch.convergence().stream().map(Duration::toMillis).toList());
    new ObjectMapper().writerWithDefaultPrettyPrinter().writeValue(out.toFile(), report);
  }

  private Duration elapsed() {
    return Duration.ofNanos(System.nanoTime() - startNanos);
  }
}
