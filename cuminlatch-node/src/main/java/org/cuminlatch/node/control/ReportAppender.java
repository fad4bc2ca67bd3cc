package org.cuminlatch.node.control;

import static org.cuminlatch.core.Preconditions.notNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.Executor;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.FoldEvent;
import org.cuminlatch.core.config.Report;
import org.cuminlatch.core.config.ReportPolicy;
import org.cuminlatch.core.config.ReportQueue;
import org.cuminlatch.core.config.ReportWriter;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.wire.log.LogClient;
import org.cuminlatch.wire.log.LogStreams;

/**
 * Appends reports for the operators to the platform's log while this node is the reporter of the
 * mesh.
 *
 * <p>Each log record holds a batch of reports as a JSON array. Confined to the control thread.
 */
final class ReportAppender {

  private static final Logger LOG = LogManager.getLogger(ReportAppender.class);
  private static final int REPORTER_RANK = 0;
  private static final int NON_REPORTER_RANK = Integer.MAX_VALUE;
  private static final ObjectMapper JSON =
      new ObjectMapper()
          .registerModule(new JavaTimeModule())
          .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS);

  private final LogClient log;
  private final Executor controlThread;
  private final ReportQueue queue = new ReportQueue(ReportPolicy.defaults());
  private final ReportWriter writer = new ReportWriter(ReportPolicy.defaults(), queue);
  private boolean appendPending;

  ReportAppender(LogClient log, Executor controlThread) {
    this.log = notNull(log, "log");
    this.controlThread = notNull(controlThread, "controlThread");
  }

  void onFoldEvent(FoldEvent event, Instant now) {
    writer.onEvent(event, now);
  }

  /** If this node is the reporter, compares the members and appends the pending reports. */
  void onTick(boolean isReporter, Snapshot snapshot, Collection<Member> members, Instant now) {
    if (isReporter) {
      writer.onMembers(snapshot.version(), snapshot.stateHash(), members, now);
    }
    ReportQueue.Action action = queue.next(isReporter ? REPORTER_RANK : NON_REPORTER_RANK, now);
    if (action == ReportQueue.Action.APPEND && !appendPending) {
      append(queue.batch(now), now);
    }
  }

  private void append(List<Report> batch, Instant now) {
    appendPending = true;
    log.append(LogStreams.REPORTS, encode(batch))
        .whenCompleteAsync((offset, failure) -> onAppended(batch, failure, now), controlThread);
  }

  private void onAppended(List<Report> batch, Throwable failure, Instant now) {
    appendPending = false;
    if (failure == null) {
      queue.onAppended(batch, now);
    } else {
      LOG.debug("could not append {} reports to the log: {}", batch.size(), failure.toString());
      queue.onFailure(now);
    }
  }

  private static Bytes encode(List<Report> batch) {
    try {
      return Bytes.copyOf(JSON.writeValueAsBytes(batch));
    } catch (JsonProcessingException defect) {
      throw CuminlatchException.of(
          ErrorCode.INTERNAL, Step.CODEC, "-", "cannot encode the reports as JSON", defect);
    }
  }
}
