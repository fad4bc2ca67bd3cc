package org.cuminlatch.testkit.target;

import java.time.Duration;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Program that runs a {@link Target} until the process is stopped. */
public final class TargetMain {

  private static final int EXIT_USAGE = 2;

  @Option(name = "--port", usage = "port to listen on at loopback, 0 for any free port")
  private int port;

  @Option(name = "--slots", usage = "maximum number of concurrent requests")
  private int slots = TargetOptions.defaults().slots();

  @Option(name = "--service-millis", usage = "execution time of a request in ms")
  private long serviceMillis = TargetOptions.defaults().serviceTime().toMillis();

  @Option(name = "--cold-start-millis", usage = "time after the start without any answer in ms")
  private long coldStartMillis;

  @Option(name = "--version", usage = "target version in the header of each answer")
  private String version = TargetOptions.defaults().version();

  @Option(name = "--help", help = true, usage = "print this help")
  private boolean help;

  private TargetMain() {}

  /**
   * Starts the target and prints the port on which it listens.
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
