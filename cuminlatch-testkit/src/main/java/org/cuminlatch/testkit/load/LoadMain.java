package org.cuminlatch.testkit.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Program that runs the load generator against nodes and writes a summary and an audit as JSON. */
public final class LoadMain {

  private static final int EXIT_VIOLATION = 1;
  private static final int EXIT_USAGE = 2;

  @Option(name = "--node", required = true, usage = "host:port of a node; can be repeated")
  private List<String> nodes = new ArrayList<>();

  @Option(name = "--path", usage = "path to request; can be repeated")
  private List<String> paths = new ArrayList<>();

  @Option(name = "--target", usage = "host:port of a target to audit; can be repeated")
  private List<String> targets = new ArrayList<>();

  @Option(name = "--rate", usage = "requests per second")
  private double rate = 50;

  @Option(name = "--seconds", usage = "duration of the load in s")
  private double seconds = 10;

  @Option(name = "--timeout-millis", usage = "timeout of a request in ms")
  private long timeoutMillis = 15_000;

  @Option(name = "--post-share", usage = "share of POST requests, from 0 to 1")
  private double postShare = 0.5;

  @Option(name = "--body-bytes", usage = "length of the body of a POST in bytes")
  private int bodyBytes = 100;

  @Option(name = "--id-prefix", usage = "prefix of the request IDs, unique to this load")
  private String idPrefix = "load-" + ProcessHandle.current().pid();

  @Option(name = "--seed", usage = "seed of the random choice between GET and POST")
  private long seed = 1;

  @Option(name = "--out", usage = "output file for the JSON, standard output if not given")
  private Path out;

  @Option(name = "--help", help = true, usage = "print this help")
  private boolean help;

  private LoadMain() {}

  /**
   * Sends the load; exits with 1 if the audit found a violation.
   *
   * @param arguments the options
   * @throws IOException if the output cannot be written or a target does not answer
   * @throws InterruptedException if the thread is interrupted
   */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    LoadMain program = new LoadMain();
    CmdLineParser parser = new CmdLineParser(program);
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException e) {
      System.err.println("cuminlatch-load: " + e.getMessage());
      parser.printUsage(System.err);
      System.exit(EXIT_USAGE);
    }
    if (program.help) {
      parser.printUsage(System.out);
      return;
    }
    System.exit(program.run() ? 0 : EXIT_VIOLATION);
  }

  private boolean run() throws IOException, InterruptedException {
    List<Observation> observations = LoadGenerator.run(options());
    Audit audit =
        targets.isEmpty()
            ? auditWithoutTargets(observations)
            : Audit.of(observations, TargetExecutions.of(targets));
    Map<String, Object> report = new LinkedHashMap<>();
    report.put("summary", LoadSummary.of(observations));
    report.put("audited", !targets.isEmpty());
    report.put("audit", audit);
    ObjectMapper json = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    if (out == null) {
      System.out.println(json.writeValueAsString(report));
    } else {
      json.writeValue(out.toFile(), report);
    }
    return audit.hasNoViolations();
  }

  private static Audit auditWithoutTargets(List<Observation> observations) {
    Audit audit = Audit.of(observations, Map.of());
    return new Audit(audit.checked(), List.of(), List.of(), audit.wrongAnswers(), List.of());
  }

  private LoadOptions options() {
    return new LoadOptions(
        nodes,
        paths.isEmpty() ? List.of("/") : paths,
        rate,
        Duration.ofMillis(Math.round(seconds * 1_000)),
        Duration.ofMillis(timeoutMillis),
        postShare,
        bodyBytes,
        idPrefix,
        seed);
  }
}
