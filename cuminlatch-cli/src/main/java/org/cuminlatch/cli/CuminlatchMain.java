package org.cuminlatch.cli;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;

/** The operators' command-line tool. */
public final class CuminlatchMain {

  private CuminlatchMain() {}

  /**
   * Runs one verb and ends the process with its exit status.
   *
   * @param arguments the verb and its options
   */
  public static void main(String[] arguments) {
    PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
    PrintWriter err = new PrintWriter(System.err, true, StandardCharsets.UTF_8);
    Console console = new Console(out, err);
    int status = new CommandLine(console, InstantSource.system()).run(arguments);
    out.flush();
    err.flush();
    System.exit(status);
  }
}
