package org.cuminlatch.cli;

import java.util.List;
import java.util.OptionalLong;
import org.cuminlatch.cli.publish.Publication;
import org.cuminlatch.core.config.MoveStop;
import org.cuminlatch.wire.log.LogClient;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Publishes a request to stop a move and roll it back. */
final class MoveStopCommand implements Command {

  @Argument(required = true, metaVar = "NAME", usage = "name of the move")
  private String name;

  @Option(
      name = "--log",
      required = true,
      metaVar = "URL",
      usage = "address of the log, as http://host:port[,...]")
  private String log;

  @Option(name = "--reason", metaVar = "TEXT", usage = "reason that is shown to other operators")
  private String reason = "stopped by an operator";

  @Option(name = "--json", usage = "print JSON")
  private boolean json;

  @Override
  public int run(CommandContext context) {
    Publication.Entry stop =
        new Publication.Entry("move-stop", new MoveStop(name, reason), OptionalLong.empty());
    try (LogClient client = LogClients.connect(log)) {
      return Publisher.connect(client, context).run(List.of(stop), json);
    }
  }
}
