package org.cuminlatch.testkit.log;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Program that runs a {@link PlatformLog} until it is ended. */
public final class PlatformLogMain {

  private static final int EXIT_USAGE = 2;

  @Option(name = "--port", usage = "port to listen on at loopback, 0 for any free one")
  private int port;

  @Option(name = "--retention-records", usage = "records that each stream keeps")
  private int retentionRecords = PlatformLogOptions.defaults().retentionRecords();

  @Option(name = "--appends-per-second", usage = "appends accepted per second")
  private int appendsPerSecond = PlatformLogOptions.defaults().appendsPerSecond();

  @Option(name = "--help", help = true, usage = "print this text")
  private boolean help;

  private PlatformLogMain() {}

  /**
   * Starts the log and prints the port that it listens on.
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
