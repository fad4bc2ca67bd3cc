package org.cuminlatch.cli;

import java.nio.file.Path;
import java.util.List;
import org.cuminlatch.cli.publish.Publication;
import org.cuminlatch.cli.publish.PublicationFile;
import org.cuminlatch.wire.log.LogClient;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Checks a publication file and, with {@code --log}, the verdicts that the fold would give. */
final class ValidateCommand implements Command {

  @Argument(required = true, metaVar = "FILE.toml", usage = "file to check")
  private Path file;

  @Option(
      name = "--log",
      metaVar = "URL",
      usage = "also check against the configuration in this log, as http://host:port[,...]")
  private String log;

  @Option(name = "--json", usage = "print JSON")
  private boolean json;

  @Override
  public int run(CommandContext context) {
    Publication publication = PublicationFile.read(file, context.clock().instant());
    if (log == null) {
      return VerdictReport.printValid(context.console(), publication, json);
    }
    try (LogClient client = LogClients.connect(log)) {
      Publisher publisher = Publisher.connect(client, context);
      List<Publisher.Verdict> verdicts = publisher.dryRun(publication.entries());
      return VerdictReport.print(context.console(), verdicts, json);
    }
  }
}
