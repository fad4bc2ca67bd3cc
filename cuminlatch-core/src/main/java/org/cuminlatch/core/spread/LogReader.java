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
 * Reads the configuration from the log: first the newest checkpoint if the replica is empty or the
 * log no longer retains the records that it needs, then the records by long polls.
 */
final class LogReader {

  private static final int MAX_RECORDS_PER_READ = 256;
  private static final int MAX_CHECKPOINTS_TRIED = 4;

  /** Time beyond the long poll after which an unanswered read is repeated. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(15);

  private enum State {
    FIND_CHECKPOINT,
    READ_CHECKPOINT,
    READ_RECORDS
  }

  private final ConfigurationReplica replica;
  private final LogRequests requests;
  private final SpreadSettings settings;
  private final SpreadListener listener;
  private final Backoff backoff;
  private State state = State.FIND_CHECKPOINT;
  private boolean readPending;
  private Instant requestedAt = Instant.EPOCH;
  private Instant answeredAt;
  private long checkpointOffset;
  private int checkpointsTried;
  private long checkpointVersion;
  private long truncatedVersion;
  private long firstOffset;
  private boolean readable;

  LogReader(
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

  /** Sends the next read unless one is pending or the backoff has not elapsed. */
  void requestNext(Instant now) {
    boolean timedOut =
        requestedAt.plus(settings.longPollTimeout()).plus(ANSWER_TIMEOUT).isBefore(now);
    if (readPending && !timedOut || !backoff.isElapsed(now)) {
      return;
    }
    readPending = true;
    requestedAt = now;
    if (state == State.FIND_CHECKPOINT && replica.version() > truncatedVersion) {
      state = State.READ_RECORDS;
    }
    switch (state) {
      case FIND_CHECKPOINT -> {
        requests.read(Stream.CHECKPOINTS, LogRequests.END_OF_STREAM, 1, Duration.ZERO);
      }
      case READ_CHECKPOINT -> {
        requests.read(Stream.CHECKPOINTS, checkpointOffset, 1, Duration.ZERO);
      }
      default -> {
        requests.read(
            Stream.CONFIGURATION,
            replica.version(),
            MAX_RECORDS_PER_READ,
            settings.longPollTimeout());
      }
    }
  }

  /**
   * Handles the answer to a read.
   *
   * @param stream the stream
   * @param first oldest offset that the log retains
   * @param next offset that the next record will get
   * @param records the records read
   * @param now the time
   * @return the configuration records to fold, empty after the read of a checkpoint
   */
  List<LogRecord> onBatch(
      Stream stream, long first, long next, List<LogRecord> records, Instant now) {
    readPending = false;
    answeredAt = now;
    backoff.onSuccess();
    if (stream == Stream.CHECKPOINTS) {
      onCheckpoints(first, next, records, now);
      return List.of();
    }
    firstOffset = first;
    readable = true;
    if (next < replica.version()) {
      reportRefusal(
          "the log ends at " + next + " but version " + replica.version() + " is held", now);
      return List.of();
    }
    return records;
  }

  private void onCheckpoints(long first, long next, List<LogRecord> records, Instant now) {
    if (state == State.FIND_CHECKPOINT) {
      checkpointOffset = next - 1;
      checkpointsTried = 0;
      state = checkpointOffset < first ? State.READ_RECORDS : State.READ_CHECKPOINT;
      return;
    }
    if (!records.isEmpty() && tryRestore(records.get(0))) {
      state = State.READ_RECORDS;
      return;
    }
    checkpointOffset--;
    checkpointsTried++;
    boolean exhausted = checkpointsTried >= MAX_CHECKPOINTS_TRIED || checkpointOffset < first;
    state = exhausted ? State.READ_RECORDS : State.READ_CHECKPOINT;
    backoff.delayUpTo(settings.backoffBase(), now);
  }

  private boolean tryRestore(LogRecord checkpoint) {
    try {
      replica.restore(checkpoint.content());
      checkpointVersion = replica.version();
      return true;
    } catch (CuminlatchException e) {
      listener.onRefused("checkpoint at offset " + checkpoint.offset() + ": " + e.getMessage());
      return false;
    }
  }

  /** Handles a failed read; if the log no longer retains the offset, a checkpoint is read next. */
  void onFailure(Stream stream, ErrorCode code, Instant now) {
    readPending = false;
    backoff.onFailure(now);
    if (code == ErrorCode.LOG_TRUNCATED) {
      restartFromCheckpoint();
    } else {
      readable = false;
    }
  }

  /** Handles an answer whose records left a gap after the version of the replica. */
  void onGap(long expected, long found, Instant now) {
    reportRefusal("offset " + expected + " expected but " + found + " found", now);
    restartFromCheckpoint();
  }

  private void restartFromCheckpoint() {
    state = State.FIND_CHECKPOINT;
    truncatedVersion = replica.version();
  }

  private void reportRefusal(String reason, Instant now) {
    backoff.onFailure(now);
    listener.onRefused(reason);
  }

  /** Delays the next read by a random time up to a maximum. */
  void delayUpTo(Duration maxDelay, Instant now) {
    backoff.delayUpTo(maxDelay, now);
  }

  /** Returns whether the last read of the log was answered. */
  boolean isReadable() {
    return readable;
  }

  /** Returns the oldest offset that the log retained at the last read of records. */
  long firstOffset() {
    return firstOffset;
  }

  /** Returns the version of the checkpoint that was last restored from the log, 0 if none. */
  long checkpointVersion() {
    return checkpointVersion;
  }
}
