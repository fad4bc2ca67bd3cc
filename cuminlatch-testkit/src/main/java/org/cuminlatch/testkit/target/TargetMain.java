package org.cuminlatch.testkit.target;

import java.time.Duration;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Program that runs a {@link Target} until it is ended. */
public final class TargetMain {

  private static final int EXIT_USAGE = 2;

  @Option(name = "--port", usage = "port to listen on at loopback, 0 for any free one")
  private int port;

  @Option(name = "--slots", usage = "requests that it runs at a time")
  private int slots = TargetOptions.defaults().slots();

  @Option(name = "--service-millis", usage = "how long it runs a request, in ms")
  private long serviceMillis = TargetOptions.defaults().serviceTime().toMillis();

  @Option(name = "--cold-start-millis", usage = "how long after its start it answers nothing, ms")
  private long coldStartMillis;

  @Option(name = "--version", usage = "target version that it names in its answers")
  private String version = TargetOptions.defaults().version();

  @Option(name = "--help", help = true, usage = "print this text")
  private boolean help;

  private TargetMain() {}

  /**
   * Starts the target and prints the port that it listens on.
   *
   * @param arguments the options
   */
  public static void main(String[] arguments) {
    TargetMain program = new TargetMain();
    CmdLineParser parser = new CmdLineParser(program);
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException e) {
      System.err.println("cuminlatch-target: " + e.getMessage());
      parser.printUsage(System.err);
      System.exit(EXIT_USAGE);
    }
    if (program.help) {
      parser.printUsage(System.out);
      return;
    }
    System.out.println("listening on " + Target.start(program.options()).port());
  }

  private TargetOptions options() {
    return new TargetOptions(
        port, slots, Duration.ofMillis(serviceMillis), Duration.ofMillis(coldStartMillis), version);
  }
}
