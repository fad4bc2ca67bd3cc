package org.cuminlatch.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import org.cuminlatch.core.error.CuminlatchException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Prints each change in the progress of a move until it has an outcome. */
final class MoveWatchCommand implements Command {

  @Argument(required = true, metaVar = "NAME", usage = "name of the move")
  private String name;

  @Option(
      name = "--node",
      required = true,
      metaVar = "URL",
      usage = "operator address of a node, as http://host:port[,...]; give several as a fallback")
  private String node;

  @Option(name = "--interval-millis", metaVar = "N", usage = "interval between polls in ms")
  private int intervalMillis = 1_000;

  @Option(
      name = "--timeout-seconds",
      metaVar = "N",
      usage = "timeout in s, after which the exit status is 1; 0 waits without limit")
  private int timeoutSeconds;

  @Option(name = "--json", usage = "print one JSON object per line")
  private boolean json;

  private String lastLine = "";

  @Override
  public int run(CommandContext context) {
    NodePageReader pages = NodePageReader.of(node);
    Instant timeoutAt = context.clock().instant().plus(Duration.ofSeconds(timeoutSeconds));
    while (true) {
      Optional<MoveView> move = poll(pages, context);
      if (move.flatMap(MoveView::result).isPresent()) {
        return "DONE".equals(move.get().result().get()) ? ExitStatus.OK : ExitStatus.ROLLED_BACK;
      }
      if (timeoutSeconds > 0 && !context.clock().instant().isBefore(timeoutAt)) {
        context
            .console()
            .err()
            .println("cuminlatch: move " + name + " had no outcome before the timeout");
        return ExitStatus.UNAVAILABLE;
      }
      context.sleeper().sleep(Duration.ofMillis(Math.max(1, intervalMillis)));
    }
  }

  private Optional<MoveView> poll(NodePageReader pages, CommandContext context) {
    try {
      Optional<MoveView> move = MoveView.find(pages.read("/moves", Map.of()), name);
      String line = move.map(MoveView::summary).orElse("not known to the node yet");
      if (!line.equals(lastLine)) {
        print(context, move, line);
        lastLine = line;
      }
      return move;
    } catch (CuminlatchException e) {
      if (!lastLine.equals(e.toString())) {
        context.console().err().println("cuminlatch: " + e + ", retrying");
        lastLine = e.toString();
      }
      return Optional.empty();
    }
  }

  private void print(CommandContext context, Optional<MoveView> move, String line) {
    Instant now = context.clock().instant();
    if (!json) {
      context.console().out().println(now + "  " + name + "  " + line);
    } else if (move.isPresent()) {
      ObjectNode node = move.get().json();
      node.put("at", now.toString());
      context.console().out().println(node);
    }
    context.console().out().flush();
  }
}
