package org.cuminlatch.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.MapOptionHandler;

/** Program that runs one experiment and writes its results as a text table, JSON and HTML. */
public final class Bench {

  private static final int EXIT_USAGE = 2;
  private static final ObjectMapper JSON =
      new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

  @Argument(metaVar = "EXPERIMENT", usage = "name of the experiment")
  private String experiment;

  @Option(name = "--seed", usage = "seed of all random numbers")
  private long seed = 1;

  @Option(
      name = "-P",
      handler = MapOptionHandler.class,
      usage = "parameter of the experiment, as name=value")
  private Map<String, String> parameters = new HashMap<>();

  @Option(name = "--out", usage = "directory for EXPERIMENT.json, .html and .txt")
  private Path out;

  @Option(name = "--help", help = true, usage = "print this text")
  private boolean help;

  private Bench() {}

  /**
   * Runs the experiment that the first argument names.
   *
   * @param arguments the name of the experiment, followed by options
   * @throws IOException if the result files cannot be written
   */
  public static void main(String[] arguments) throws IOException {
    Bench program = new Bench();
    CmdLineParser parser = new CmdLineParser(program);
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException e) {
      System.err.println("cuminlatch-bench: " + e.getMessage());
      program.help = true;
    }
    if (program.help || Experiments.findByName(String.valueOf(program.experiment)).isEmpty()) {
      printUsage(parser);
      System.exit(EXIT_USAGE);
    }
    program.run(String.join(" ", arguments));
    System.exit(0);
  }

  private static void printUsage(CmdLineParser parser) {
    System.err.println("cuminlatch-bench EXPERIMENT [options]");
    parser.printUsage(System.err);
    Experiments.all()
        .forEach(available -> System.err.println(available.name() + ": " + available.summary()));
  }

  private void run(String arguments) throws IOException {
    Results results =
        Experiments.findByName(experiment)
            .orElseThrow()
            .run(new ExperimentOptions(seed, parameters));
    Report report =
        new Report(
            experiment,
            "bin/cuminlatch-bench " + arguments,
            Instant.now(),
            Machine.current(),
            results);
    System.out.print(TextTable.of(report));
    if (out != null) {
      write(report);
    }
  }

  private void write(Report report) throws IOException {
    Files.createDirectories(out);
    Files.writeString(out.resolve(experiment + ".txt"), TextTable.of(report));
    Files.writeString(out.resolve(experiment + ".html"), HtmlPage.of(report));
    Files.writeString(
        out.resolve(experiment + ".json"), JSON.writeValueAsString(json(report)) + "\n");
  }

  private static Map<String, Object> json(Report report) {
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("experiment", report.experiment());
    json.put("command", report.command());
    json.put("date", report.date().toString());
    json.put("machine", report.machine());
    json.put("results", report.results());
    return json;
  }
}
