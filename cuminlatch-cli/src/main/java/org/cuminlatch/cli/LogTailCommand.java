package org.cuminlatch.cli;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.cuminlatch.core.config.LogRecord;
import org.cuminlatch.core.config.RecordEnvelope;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.wire.config.ConfigurationCodecs;
import org.cuminlatch.wire.log.LogClient;
import org.cuminlatch.wire.log.LogClient.LogBatch;
import org.cuminlatch.wire.log.LogClient.LogExtent;
import org.cuminlatch.wire.log.LogStreams;
import org.kohsuke.args4j.Option;

/** Prints the last records of a stream and, with {@code --follow}, new records as they arrive. */
final class LogTailCommand implements Command {

  private static final Duration LONG_POLL_TIMEOUT = Duration.ofSeconds(10);
  private static final int MAX_TEXT_CHARS = 400;

  @Option(
      name = "--log",
      required = true,
      metaVar = "URL",
      usage = "address of the log, as http://host:port[,...]")
  private String log;

  @Option(name = "--stream", metaVar = "NAME", usage = "stream to read")
  private String stream = LogStreams.CONFIGURATION;

  @Option(name = "--count", metaVar = "N", usage = "number of most recent records to print")
  private int count = 20;

  @Option(name = "--follow", usage = "keep printing new records as they arrive")
  private boolean follow;

  @Option(name = "--json", usage = "print one JSON object per line")
  private boolean json;

  @Override
  public int run(CommandContext context) {
    try (LogClient client = LogClients.connect(log)) {
      LogExtent extent = LogClients.await(client.extent(stream));
      long nextOffset = Math.max(extent.firstOffset(), extent.nextOffset() - Math.max(count, 0));
      while (follow || nextOffset < extent.nextOffset()) {
        LogBatch batch =
            LogClients.await(
                client.read(
                    stream,
                    nextOffset,
                    Math.max(count, 1),
                    follow ? LONG_POLL_TIMEOUT : Duration.ZERO));
        batch.records().forEach(record -> print(context.console(), record));
        if (batch.records().isEmpty() && !follow) {
          return ExitStatus.OK;
        }
        nextOffset += batch.records().size();
        context.console().out().flush();
      }
    }
    return ExitStatus.OK;
  }

  private void print(Console console, LogRecord record) {
    if (json) {
      ObjectNode node = JsonNodeFactory.instance.objectNode().put("offset", record.offset());
      node.put("bytes", record.content().length()).put("content", describe(record));
      console.out().println(node);
    } else {
      console.out().printf("%8d  %s%n", record.offset(), describe(record));
    }
  }

  private String describe(LogRecord record) {
    if (stream.equals(LogStreams.CONFIGURATION)) {
      try {
        return describe(ConfigurationCodecs.decode(record.content()));
      } catch (CuminlatchException e) {
        return "unreadable: " + e.getMessage();
      }
    }
    if (stream.equals(LogStreams.CHECKPOINTS)) {
      return "checkpoint of " + record.content().length() + " bytes";
    }
    String text = new String(record.content().toArray(), StandardCharsets.UTF_8);
    return text.length() <= MAX_TEXT_CHARS ? text : text.substring(0, MAX_TEXT_CHARS) + "...";
  }

  private static String describe(RecordEnvelope envelope) {
    String expected =
        envelope.expectedVersion().isPresent()
            ? " expects version " + envelope.expectedVersion().getAsLong()
            : "";
    return envelope.key()
        + " schemas "
        + envelope.bodies().stream().map(body -> body.schemaVersion()).toList()
        + expected
        + " id "
        + envelope.recordId();
  }
}
