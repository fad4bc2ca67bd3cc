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

/** Checks a publication against the state of the log, appends it and reads the verdicts. */
final class Publisher {

  private static final int MAX_APPEND_ATTEMPTS = 5;

  private final LogClient log;
  private final LogReplica replica;
  private final CommandContext context;
  private final Backoff backoff;

  private Publisher(LogClient log, LogReplica replica, CommandContext context) {
    this.log = log;
    this.replica = replica;
    this.context = context;
    this.backoff = new Backoff(context.random(), context.sleeper());
  }

  /**
   * Creates a publisher with a replica that has folded the log to its end.
   *
   * @param log client of the log
   * @param context environment of the verb
   * @return the publisher
   * @throws CuminlatchException if the log cannot be read
   */
  static Publisher connect(LogClient log, CommandContext context) {
    return new Publisher(log, LogReplica.load(log), context);
  }

  /**
   * Publishes resources in order until the fold refuses one, and prints the verdicts. Appends
   * nothing if the fold would refuse any of them in the current state.
   *
   * @param entries the resources
   * @param json whether to print JSON
   * @return the exit status
   */
  int run(List<Publication.Entry> entries, boolean json) {
    List<Verdict> dryRunVerdicts = dryRun(entries);
    if (dryRunVerdicts.stream().anyMatch(verdict -> !verdict.decision().isAccepted())) {
      context
          .console()
          .err()
          .println("cuminlatch: nothing was appended, as the fold would refuse a resource");
      return VerdictReport.print(context.console(), dryRunVerdicts, json);
    }
    List<Verdict> verdicts = new ArrayList<>();
    for (Publication.Entry entry : entries) {
      Verdict verdict = publish(entry);
      verdicts.add(verdict);
      if (!verdict.decision().isAccepted()) {
        break;
      }
    }
    int notAppended = entries.size() - verdicts.size();
    if (notAppended > 0) {
      context
          .console()
          .err()
          .println("cuminlatch: " + notAppended + " resources were not appended");
    }
    return VerdictReport.print(context.console(), verdicts, json);
  }

  /**
   * Determines the verdicts that the fold would give in the current state, without appending.
   *
   * @param entries the resources
   * @return one verdict for each resource, in order
   */
  List<Verdict> dryRun(List<Publication.Entry> entries) {
    List<FoldEvent.Decided> decisions = new ArrayList<>();
    ConfigurationReplica dryRunReplica =
        ConfigurationCodecs.replica(
            event -> {
              if (event instanceof FoldEvent.Decided decided) {
                decisions.add(decided);
              }
            });
    dryRunReplica.restore(replica.replica().checkpoint());
    for (Publication.Entry entry : entries) {
      dryRunReplica.fold(
          List.of(new LogRecord(dryRunReplica.version(), encode(newRecordId(), entry))));
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
    CuminlatchException lastFailure = null;
    for (int attempt = 0; attempt < MAX_APPEND_ATTEMPTS; attempt++) {
      backoff.sleepBefore(attempt);
      try {
        LogClients.await(log.append(LogStreams.CONFIGURATION, content));
      } catch (CuminlatchException e) {
        lastFailure = e;
      }
      Optional<FoldEvent.Decided> decision = readDecision(recordId);
      if (decision.isPresent()) {
        return new Verdict(entry, decision.get());
      }
    }
    throw noVerdict(entry, lastFailure);
  }

  private Optional<FoldEvent.Decided> readDecision(String recordId) {
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

  private static CuminlatchException noVerdict(
      Publication.Entry entry, CuminlatchException lastFailure) {
    ErrorCode code = lastFailure == null ? ErrorCode.LOG_UNAVAILABLE : lastFailure.code();
    String message =
        "%s: no verdict after %d attempts, it may still take effect; last failure: %s"
            .formatted(
                entry.key(),
                MAX_APPEND_ATTEMPTS,
                lastFailure == null ? "-" : lastFailure.getMessage());
    return CuminlatchException.of(code, Step.LOG_APPEND, message);
  }

  /**
   * Verdict of the fold on a resource.
   *
   * @param entry the resource
   * @param decision whether it was accepted, or why it was refused
   */
  record Verdict(Publication.Entry entry, FoldEvent.Decided decision) {}
}
