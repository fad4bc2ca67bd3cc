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

/** Prints the last records of a stream, and new ones as they come if asked to. */
final class LogTailCommand implements Command {

  private static final Duration WAIT = Duration.ofSeconds(10);
  private static final int MAX_TEXT = 400;

  @Option(
      name = "--log",
      required = true,
      metaVar = "URL",
      usage = "address of the log, as http://host:port[,...]")
  private String log;

  @Option(name = "--stream", metaVar = "NAME", usage = "stream to read")
  private String stream = LogStreams.CONFIGURATION;

  @Option(name = "--count", metaVar = "N", usage = "how many of the last records to print")
  private int count = 20;

  @Option(name = "--follow", usage = "go on with new records as they come")
  private boolean follow;

  @Option(name = "--json", usage = "print one JSON object a line")
  private boolean json;

  @Override
  public int run(CommandContext context) {
    try (LogClient client = LogOptions.connect(log)) {
      LogExtent extent = LogOptions.await(client.extent(stream));
      long next = Math.max(extent.firstOffset(), extent.nextOffset() - Math.max(count, 0));
      while (follow || next < extent.nextOffset()) {
        LogBatch batch =
            LogOptions.await(
                client.read(stream, next, Math.max(count, 1), follow ? WAIT : Duration.ZERO));
        batch.records().forEach(record -> print(context.console(), record));
        if (batch.records().isEmpty() && !follow) {
          return ExitStatus.OK;
        }
        next += batch.records().size();
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
        return "unreadable, " + e.getMessage();
      }
    }
    if (stream.equals(LogStreams.CHECKPOINTS)) {
      return "checkpoint of " + record.content().length() + " bytes";
    }
    String text = new String(record.content().toArray(), StandardCharsets.UTF_8);
    return text.length() <= MAX_TEXT ? text : text.substring(0, MAX_TEXT) + "...";
  }

  private static String describe(RecordEnvelope envelope) {
    String expected =
        envelope.expectedVersion().isPresent()
            ? " expects " + envelope.expectedVersion().getAsLong()
            : "";
    return envelope.key()
        + " schemas "
        + envelope.bodies().stream().map(body -> body.schemaVersion()).toList()
        + expected
        + " id "
        + envelope.recordId();
  }
}
