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
 * Appends reports to the operators, a JSON array per record, while this node is the mesh's
 * reporter.
 *
 * <p>Belongs to the control thread.
 */
final class ReportStream {

  private static final Logger LOG = LogManager.getLogger(ReportStream.class);
  private static final int REPORTER = 0;
  private static final int NOT_REPORTER = Integer.MAX_VALUE;
  private static final ObjectMapper JSON =
      new ObjectMapper()
          .registerModule(new JavaTimeModule())
          .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS);

  private final LogClient log;
  private final Executor control;
  private final ReportQueue queue = new ReportQueue(ReportPolicy.defaults());
  private final ReportWriter writer = new ReportWriter(ReportPolicy.defaults(), queue);
  private boolean outstanding;

  ReportStream(LogClient log, Executor control) {
    this.log = notNull(log, "log");
    this.control = notNull(control, "control");
  }

  void onEvent(FoldEvent event, Instant now) {
    writer.onEvent(event, now);
  }

  /** Compares the members, then appends what waits if this node is the reporter. */
  void onTick(boolean isReporter, Snapshot snapshot, Collection<Member> members, Instant now) {
    if (isReporter) {
      writer.onMembers(snapshot.version(), snapshot.stateHash(), members, now);
    }
    ReportQueue.Action action = queue.next(isReporter ? REPORTER : NOT_REPORTER, now);
    if (action == ReportQueue.Action.APPEND && !outstanding) {
      append(queue.batch(now), now);
    }
  }

  private void append(List<Report> batch, Instant now) {
    outstanding = true;
    log.append(LogStreams.REPORTS, encode(batch))
        .whenCompleteAsync((offset, failure) -> onAppended(batch, failure, now), control);
  }

  private void onAppended(List<Report> batch, Throwable failure, Instant now) {
    outstanding = false;
    if (failure == null) {
      queue.onAppended(batch, now);
    } else {
      LOG.debug("{} reports could not be appended: {}", batch.size(), failure.toString());
      queue.onFailure(now);
    }
  }

  private static Bytes encode(List<Report> batch) {
    try {
      return Bytes.copyOf(JSON.writeValueAsBytes(batch));
    } catch (JsonProcessingException defect) {
      throw CuminlatchException.of(
          ErrorCode.INTERNAL, Step.CODEC, "-", "a report can't be encoded", defect);
    }
  }
}
