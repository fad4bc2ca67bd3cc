package org.cuminlatch.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.OptionalLong;
import org.cuminlatch.cli.publish.Publication;
import org.cuminlatch.cli.publish.PublicationFile;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;
import org.cuminlatch.wire.log.LogClient;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Appends the resources of a file to the log and waits for the verdict on each. */
final class PublishCommand implements Command {

  @Argument(required = true, metaVar = "FILE.toml", usage = "file to publish")
  private Path file;

  @Option(
      name = "--log",
      required = true,
      metaVar = "URL",
      usage = "address of the log, as http://host:port[,...]")
  private String log;

  @Option(
      name = "--expect",
      metaVar = "VERSION",
      usage = "expected version of the only resource in the file, 0 if it must not exist")
  private Long expect;

  @Option(name = "--json", usage = "print JSON")
  private boolean json;

  @Override
  public int run(CommandContext context) {
    Publication publication = PublicationFile.read(file, context.clock().instant());
    List<Publication.Entry> entries = withExpectedVersion(publication.entries());
    try (LogClient client = LogClients.connect(log)) {
      return Publisher.connect(client, context).run(entries, json);
    }
  }

  private List<Publication.Entry> withExpectedVersion(List<Publication.Entry> entries) {
    if (expect == null) {
      return entries;
    }
    if (expect < 0 || entries.size() != 1) {
      throw CuminlatchException.of(
          ErrorCode.INVALID_SETTING,
          Step.SETTINGS,
          "--expect: found %d for %d resources, expected 0 or more for a single resource"
              .formatted(expect, entries.size()));
    }
    Publication.Entry entry = entries.get(0);
    return List.of(new Publication.Entry(entry.key(), entry.resource(), OptionalLong.of(expect)));
  }
}
