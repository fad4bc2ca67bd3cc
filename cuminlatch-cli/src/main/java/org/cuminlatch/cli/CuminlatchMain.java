package org.cuminlatch.cli;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Main class of the command-line tool for operators. */
public final class CuminlatchMain {

  private CuminlatchMain() {}

  /**
   * Runs one verb and exits the process with its exit status.
   *
   * @param arguments the verb and its options
   */
  public static void main(String[] arguments) {
    PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
    PrintWriter err = new PrintWriter(System.err, true, StandardCharsets.UTF_8);
    CommandContext context =
        new CommandContext(
            new Console(out, err),
            InstantSource.system(),
            RandomGenerator.getDefault(),
            CuminlatchMain::sleep);
    int status = new CommandLine(context).run(arguments);
    out.flush();
    err.flush();
    System.exit(status);
  }

  private static void sleep(Duration duration) {
    try {
      TimeUnit.MILLISECONDS.sleep(duration.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
