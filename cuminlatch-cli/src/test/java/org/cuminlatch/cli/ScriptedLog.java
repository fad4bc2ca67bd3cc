package org.cuminlatch.cli;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.LogRecord;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;
import org.cuminlatch.wire.log.LogClient;

/** Log in memory whose next appends have the outcomes that a test has set. */
final class ScriptedLog implements LogClient {

  /** Outcome of an append. */
  enum AppendOutcome {
    APPENDED,
    RATE_LIMITED,
    REQUEST_LOST,
    APPENDED_BUT_ANSWER_LOST
  }

  private final Map<String, List<LogRecord>> streams = new HashMap<>();
  private final Deque<AppendOutcome> nextOutcomes = new ArrayDeque<>();

  void setNextOutcomes(AppendOutcome... outcomes) {
    nextOutcomes.addAll(List.of(outcomes));
  }

  List<LogRecord> records(String stream) {
    return streams.computeIfAbsent(stream, name -> new ArrayList<>());
  }

  @Override
  public CompletableFuture<Long> append(String stream, Bytes content) {
    AppendOutcome outcome =
        nextOutcomes.isEmpty() ? AppendOutcome.APPENDED : nextOutcomes.removeFirst();
    List<LogRecord> records = records(stream);
    if (outcome == AppendOutcome.APPENDED || outcome == AppendOutcome.APPENDED_BUT_ANSWER_LOST) {
      records.add(new LogRecord(records.size(), content));
    }
    return switch (outcome) {
      case APPENDED -> CompletableFuture.completedFuture(records.size() - 1L);
      case RATE_LIMITED -> failed(ErrorCode.LOG_RATE_LIMITED);
      default -> failed(ErrorCode.LOG_UNAVAILABLE);
    };
  }

  @Override
  public CompletableFuture<LogBatch> read(String stream, long from, int max, Duration wait) {
    List<LogRecord> records = records(stream);
    int firstIndex = (int) Math.min(from, records.size());
    int endIndex = Math.min(records.size(), firstIndex + max);
    return CompletableFuture.completedFuture(
        new LogBatch(0, records.size(), records.subList(firstIndex, endIndex)));
  }

  @Override
  public void close() {}

  private static CompletableFuture<Long> failed(ErrorCode code) {
    return CompletableFuture.failedFuture(
        CuminlatchException.of(code, Step.LOG_APPEND, "log", "outcome set by the test"));
  }
}
