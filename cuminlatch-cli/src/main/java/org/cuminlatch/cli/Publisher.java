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
  private final Pause pause;

  Publisher(LogClient log, LogReplica replica, Pause pause) {
    this.log = log;
    this.replica = replica;
    this.pause = pause;
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

  /**
   * Appends one resource and waits for its verdict.
   *
   * @param entry the resource
   * @return the verdict
   * @throws CuminlatchException with {@code LOG_UNAVAILABLE} or {@code LOG_RATE_LIMITED} if the log
   *     did not take the record, or whether it did is unknown
   */
  Verdict publish(Publication.Entry entry) {
    String recordId = newRecordId();
    Bytes content = encode(recordId, entry);
    CuminlatchException last = null;
    for (int attempt = 0; attempt < APPEND_ATTEMPTS; attempt++) {
      pause.before(attempt);
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
