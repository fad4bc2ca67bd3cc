package org.cuminlatch.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Runs the tool in virtual time and captures its output. */
final class ToolFixture {

  static final Instant START = Instant.parse("2026-12-04T08:00:00Z");

  final List<Duration> sleeps = new ArrayList<>();
  private Instant now = START;
  private Runnable duringSleep = () -> {};
  private StringWriter out = new StringWriter();
  private StringWriter err = new StringWriter();

  int run(String... arguments) {
    out = new StringWriter();
    err = new StringWriter();
    Console console = new Console(new PrintWriter(out), new PrintWriter(err));
    CommandContext context = new CommandContext(console, () -> now, new Random(1), this::sleep);
    int status = new CommandLine(context).run(arguments);
    console.out().flush();
    console.err().flush();
    return status;
  }

  void duringSleep(Runnable action) {
    duringSleep = action;
  }

  String out() {
    return out.toString();
  }

  String err() {
    return err.toString();
  }

  private void sleep(Duration duration) {
    sleeps.add(duration);
    now = now.plus(duration);
    duringSleep.run();
  }
}
