package org.cuminlatch.cli;

import java.nio.file.Path;
import java.util.ArrayList;
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

/** Appends the records of a file and waits for the verdict on each. */
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
      usage =
          "version of the resource that you last saw, 0 if it must not exist; one resource only")
  private Long expect;

  @Option(name = "--json", usage = "print JSON")
  private boolean json;

  @Override
  public int run(CommandContext context) {
    Publication publication = PublicationFile.read(file, context.clock().instant());
    List<Publication.Entry> entries = withExpectedVersion(publication.entries());
    try (LogClient client = LogOptions.connect(log)) {
      Publisher publisher = new Publisher(client, LogReplica.load(client), Pauses.jittered());
      List<Publisher.Verdict> rehearsal = publisher.rehearse(entries);
      if (rehearsal.stream().anyMatch(verdict -> !verdict.decision().isAccepted())) {
        context.console().err().println("cuminlatch: nothing was appended, the log would refuse");
        return VerdictReport.print(context.console(), rehearsal, json);
      }
      return VerdictReport.print(context.console(), publishAll(publisher, entries), json);
    }
  }

  private List<Publisher.Verdict> publishAll(Publisher publisher, List<Publication.Entry> entries) {
    List<Publisher.Verdict> verdicts = new ArrayList<>();
    for (Publication.Entry entry : entries) {
      Publisher.Verdict verdict = publisher.publish(entry);
      verdicts.add(verdict);
      if (!verdict.decision().isAccepted()) {
        break;
      }
    }
    return verdicts;
  }

  private List<Publication.Entry> withExpectedVersion(List<Publication.Entry> entries) {
    if (expect == null) {
      return entries;
    }
    if (expect < 0 || entries.size() != 1) {
      throw CuminlatchException.of(
          ErrorCode.INVALID_SETTING,
          Step.SETTINGS,
          "--expect had %d for %d resources; it wants 0 or more and a file of one resource"
              .formatted(expect, entries.size()));
    }
    Publication.Entry entry = entries.get(0);
    return List.of(new Publication.Entry(entry.key(), entry.resource(), OptionalLong.of(expect)));
  }
}
