package org.cuminlatch.testkit.log;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Program that runs a {@link PlatformLog} until the process is stopped. */
public final class PlatformLogMain {

  private static final int EXIT_USAGE = 2;

  @Option(name = "--port", usage = "port to listen on at loopback, 0 for any free port")
  private int port;

  @Option(name = "--retention-records", usage = "number of records that each stream retains")
  private int retentionRecords = PlatformLogOptions.defaults().retentionRecords();

  @Option(
      name = "--appends-per-second",
      usage = "maximum number of appends per second over all streams")
  private int appendsPerSecond = PlatformLogOptions.defaults().appendsPerSecond();

  @Option(name = "--help", help = true, usage = "print this help")
  private boolean help;

  private PlatformLogMain() {}

  /**
   * Starts the log and prints the port on which it listens.
   *
   * @param arguments the options
   */
  public static void main(String[] arguments) {
    PlatformLogMain program = new PlatformLogMain();
    CmdLineParser parser = new CmdLineParser(program);
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException e) {
      System.err.println("cuminlatch-log: " + e.getMessage());
      parser.printUsage(System.err);
      System.exit(EXIT_USAGE);
    }
    if (program.help) {
      parser.printUsage(System.out);
      return;
    }
    PlatformLog log =
        PlatformLog.start(
            new PlatformLogOptions(
                program.port, program.retentionRecords, program.appendsPerSecond));
    System.out.println("listening on " + log.port());
  }
}
