package org.cuminlatch.core.spread;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.config.ConfigurationReplica;
import org.cuminlatch.core.config.LogRecord;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.spread.LogRequests.Stream;

/**
 * Reads the configuration from the log: the newest checkpoint first when nothing is held or the log
 * has passed the own version, then the records by long polls.
 */
final class LogReading {

  private static final int MAX_RECORDS = 256;
  private static final int MAX_CHECKPOINTS_TRIED = 4;
  private static final Duration ANSWER_LIMIT = Duration.ofSeconds(15);

  private enum Step {
    FIND_CHECKPOINT,
    READ_CHECKPOINT,
    READ_RECORDS
  }

  private final ConfigurationReplica replica;
  private final LogRequests requests;
  private final SpreadSettings settings;
  private final SpreadListener listener;
  private final Backoff backoff;
  private Step step = Step.FIND_CHECKPOINT;
  private boolean outstanding;
  private Instant askedAt = Instant.EPOCH;
  private Instant answeredAt;
  private long checkpointOffset;
  private int checkpointsTried;
  private long checkpointVersion;
  private long stuckAt;
  private long firstOffset;
  private boolean readable;

  LogReading(
      ConfigurationReplica replica,
      LogRequests requests,
      SpreadSettings settings,
      SpreadListener listener,
      RandomGenerator random) {
    this.replica = replica;
    this.requests = requests;
    this.settings = settings;
    this.listener = listener;
    this.backoff = new Backoff(settings.backoffBase(), settings.backoffLimit(), random);
  }

  /** Asks for what comes next unless an answer is awaited or the backoff runs. */
  void advance(Instant now) {
    boolean lost = askedAt.plus(settings.longPoll()).plus(ANSWER_LIMIT).isBefore(now);
    if (outstanding && !lost || !backoff.isOver(now)) {
      return;
    }
    outstanding = true;
    askedAt = now;
    if (step == Step.FIND_CHECKPOINT && replica.version() > stuckAt) {
      step = Step.READ_RECORDS;
    }
    switch (step) {
      case FIND_CHECKPOINT -> {
        requests.read(Stream.CHECKPOINTS, LogRequests.END_OF_STREAM, 1, Duration.ZERO);
      }
      case READ_CHECKPOINT -> {
        requests.read(Stream.CHECKPOINTS, checkpointOffset, 1, Duration.ZERO);
      }
      default -> {
        requests.read(Stream.CONFIGURATION, replica.version(), MAX_RECORDS, settings.longPoll());
      }
    }
  }

  /** Takes an answer and returns the records that continue the own ones, to fold. */
  List<LogRecord> onBatch(
      Stream stream, long first, long next, List<LogRecord> records, Instant now) {
    outstanding = false;
    answeredAt = now;
    backoff.succeeded();
    if (stream == Stream.CHECKPOINTS) {
      onCheckpoints(first, next, records, now);
      return List.of();
    }
    firstOffset = first;
    readable = true;
    if (next < replica.version()) {
      refuse("the log ends at " + next + " but version " + replica.version() + " is held", now);
      return List.of();
    }
    return records;
  }

  private void onCheckpoints(long first, long next, List<LogRecord> records, Instant now) {
    if (step == Step.FIND_CHECKPOINT) {
      checkpointOffset = next - 1;
      checkpointsTried = 0;
      step = checkpointOffset < first ? Step.READ_RECORDS : Step.READ_CHECKPOINT;
      return;
    }
    if (!records.isEmpty() && restored(records.get(0))) {
      step = Step.READ_RECORDS;
      return;
    }
    checkpointOffset--;
    checkpointsTried++;
    boolean noneLeft = checkpointsTried >= MAX_CHECKPOINTS_TRIED || checkpointOffset < first;
    step = noneLeft ? Step.READ_RECORDS : Step.READ_CHECKPOINT;
    backoff.waitUpTo(settings.backoffBase(), now);
  }

  private boolean restored(LogRecord written) {
    try {
      replica.restore(written.content());
      checkpointVersion = replica.version();
      return true;
    } catch (CuminlatchException e) {
      listener.onRefused("checkpoint at offset " + written.offset() + ": " + e.getMessage());
      return false;
    }
  }

  /** Takes a failure; when the log has passed the own version the newest checkpoint is next. */
  void onFailure(Stream stream, ErrorCode code, Instant now) {
    outstanding = false;
    backoff.failed(now);
    if (code == ErrorCode.LOG_TRUNCATED) {
      lookForCheckpoint();
    } else {
      readable = false;
    }
  }

  /** Notes that the records of an answer did not continue the own ones. */
  void onGap(long expected, long found, Instant now) {
    refuse("offset " + expected + " expected but " + found + " found", now);
    lookForCheckpoint();
  }

  private void lookForCheckpoint() {
    step = Step.FIND_CHECKPOINT;
    stuckAt = replica.version();
  }

  private void refuse(String reason, Instant now) {
    backoff.failed(now);
    listener.onRefused(reason);
  }

  void waitUpTo(Duration longest, Instant now) {
    backoff.waitUpTo(longest, now);
  }

  /** Returns whether the last read of the log was answered. */
  boolean isReadable() {
    return readable;
  }

  long firstOffset() {
    return firstOffset;
  }

  long checkpointVersion() {
    return checkpointVersion;
  }
}
