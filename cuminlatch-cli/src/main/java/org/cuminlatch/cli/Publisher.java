package org.cuminlatch.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.cuminlatch.cli.publish.Publication;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.ConfigurationReplica;
import org.cuminlatch.core.config.FoldEvent;
import org.cuminlatch.core.config.LogRecord;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;
import org.cuminlatch.wire.config.ConfigurationCodecs;
import org.cuminlatch.wire.log.LogClient;
import org.cuminlatch.wire.log.LogStreams;

/** Tries a publication against the state of the log, appends it and finds the verdicts. */
final class Publisher {

  private static final int APPEND_ATTEMPTS = 5;

  private final LogClient log;
  private final LogReplica replica;
  private final CommandContext context;
  private final Backoff backoff;

  private Publisher(LogClient log, LogReplica replica, CommandContext context) {
    this.log = log;
    this.replica = replica;
    this.context = context;
    this.backoff = new Backoff(context.random(), context.pause());
  }

  /**
   * Creates a publisher that has read the log to its end.
   *
   * @param log the log
   * @param context what the verb works with
   * @return the publisher
   * @throws CuminlatchException if the log cannot be read
   */
  static Publisher connect(LogClient log, CommandContext context) {
    return new Publisher(log, LogReplica.load(log), context);
  }

  /**
   * Publishes resources one after the other, up to the first that is refused, and prints the
   * verdicts; appends nothing if the log would refuse any of them now.
   *
   * @param entries the resources
   * @param json whether to print JSON
   * @return the exit status
   */
  int run(List<Publication.Entry> entries, boolean json) {
    List<Verdict> rehearsal = rehearse(entries);
    if (rehearsal.stream().anyMatch(verdict -> !verdict.decision().isAccepted())) {
      context.console().err().println("cuminlatch: nothing was appended, the log would refuse");
      return VerdictReport.print(context.console(), rehearsal, json);
    }
    List<Verdict> verdicts = new ArrayList<>();
    for (Publication.Entry entry : entries) {
      Verdict verdict = publish(entry);
      verdicts.add(verdict);
      if (!verdict.decision().isAccepted()) {
        break;
      }
    }
    int left = entries.size() - verdicts.size();
    if (left > 0) {
      context.console().err().println("cuminlatch: " + left + " were not appended");
    }
    return VerdictReport.print(context.console(), verdicts, json);
  }

  /**
   * Decides a publication as the fold would now, appending nothing.
   *
   * @param entries the resources
   * @return one verdict each, in order
   */
  List<Verdict> rehearse(List<Publication.Entry> entries) {
    List<FoldEvent.Decided> decisions = new ArrayList<>();
    ConfigurationReplica scratch =
        ConfigurationCodecs.replica(
            event -> {
              if (event instanceof FoldEvent.Decided decided) {
                decisions.add(decided);
              }
            });
    scratch.restore(replica.replica().checkpoint());
    for (Publication.Entry entry : entries) {
      scratch.fold(List.of(new LogRecord(scratch.version(), encode(newRecordId(), entry))));
    }
    List<Verdict> verdicts = new ArrayList<>();
    for (int i = 0; i < entries.size(); i++) {
      verdicts.add(new Verdict(entries.get(i), decisions.get(i)));
    }
    return verdicts;
  }

  private Verdict publish(Publication.Entry entry) {
    String recordId = newRecordId();
    Bytes content = encode(recordId, entry);
    CuminlatchException last = null;
    for (int attempt = 0; attempt < APPEND_ATTEMPTS; attempt++) {
      backoff.before(attempt);
      try {
        LogOptions.await(log.append(LogStreams.CONFIGURATION, content));
      } catch (CuminlatchException e) {
        last = e;
      }
      Optional<FoldEvent.Decided> decision = readBack(recordId);
      if (decision.isPresent()) {
        return new Verdict(entry, decision.get());
      }
    }
    throw undecided(entry, last);
  }

  private Optional<FoldEvent.Decided> readBack(String recordId) {
    try {
      replica.catchUp();
    } catch (CuminlatchException e) {
      return Optional.empty();
    }
    return replica.decision(recordId);
  }

  private static Bytes encode(String recordId, Publication.Entry entry) {
    return ConfigurationCodecs.encode(recordId, entry.resource(), entry.expectedVersion());
  }

  private static String newRecordId() {
    return UUID.randomUUID().toString();
  }

  private static CuminlatchException undecided(Publication.Entry entry, CuminlatchException last) {
    ErrorCode code = last == null ? ErrorCode.LOG_UNAVAILABLE : last.code();
    String message =
        "%s: the log gave no verdict in %d attempts, it may still take effect; last: %s"
            .formatted(entry.key(), APPEND_ATTEMPTS, last == null ? "-" : last.getMessage());
    return CuminlatchException.of(code, Step.LOG_APPEND, message);
  }

  /**
   * What the fold said of a resource.
   *
   * @param entry the resource
   * @param decision accepted or refused
   */
  record Verdict(Publication.Entry entry, FoldEvent.Decided decision) {}
}
