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

/** A log in memory whose next appends end as a test has planned. */
final class FlakyLog implements LogClient {

  /** How an append ends. */
  enum Append {
    TAKEN,
    RATE_LIMITED,
    LOST,
    TAKEN_BUT_ANSWER_LOST
  }

  private final Map<String, List<LogRecord>> streams = new HashMap<>();
  private final Deque<Append> planned = new ArrayDeque<>();

  void plan(Append... appends) {
    planned.addAll(List.of(appends));
  }

  List<LogRecord> records(String stream) {
    return streams.computeIfAbsent(stream, name -> new ArrayList<>());
  }

  @Override
  public CompletableFuture<Long> append(String stream, Bytes content) {
    Append end = planned.isEmpty() ? Append.TAKEN : planned.removeFirst();
    List<LogRecord> records = records(stream);
    if (end == Append.TAKEN || end == Append.TAKEN_BUT_ANSWER_LOST) {
      records.add(new LogRecord(records.size(), content));
    }
    return switch (end) {
      case TAKEN -> CompletableFuture.completedFuture(records.size() - 1L);
      case RATE_LIMITED -> failed(ErrorCode.LOG_RATE_LIMITED);
      default -> failed(ErrorCode.LOG_UNAVAILABLE);
    };
  }

  @Override
  public CompletableFuture<LogBatch> read(String stream, long from, int max, Duration wait) {
    List<LogRecord> records = records(stream);
    int first = (int) Math.min(from, records.size());
    int end = Math.min(records.size(), first + max);
    return CompletableFuture.completedFuture(
        new LogBatch(0, records.size(), records.subList(first, end)));
  }

  @Override
  public void close() {}

  private static CompletableFuture<Long> failed(ErrorCode code) {
    return CompletableFuture.failedFuture(
        CuminlatchException.of(code, Step.LOG_APPEND, "log", "as planned"));
  }
}
