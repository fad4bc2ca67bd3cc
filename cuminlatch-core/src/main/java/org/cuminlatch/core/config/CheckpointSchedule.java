package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides when this instance writes a checkpoint.
 *
 * <p>Every instance holds the same state, so any of them may write. The first in rank writes as
 * soon as a checkpoint is due; each next one waits longer, so that it steps in only if those before
 * it fail. Whoever is about to write looks at the stream first, because a checkpoint that is there
 * already makes its own needless.
 */
public final class CheckpointSchedule {

  private static final int MAX_RANK = 1_000;

  private final CheckpointPolicy policy;
  private long lastVersion;
  private Instant lastAt;
  private Instant dueSince;
  private boolean looked;

  /**
   * Creates a schedule.
   *
   * @param policy when checkpoints are due
   * @param now the time; an age counts from it until a checkpoint is seen
   */
  public CheckpointSchedule(CheckpointPolicy policy, Instant now) {
    this.policy = notNull(policy, "policy");
    this.lastAt = notNull(now, "now");
  }

  /** What to do next. */
  public enum Action {
    /** Nothing. */
    WAIT,
    /** Read the last checkpoint on the stream and report it by {@link #onLooked}. */
    LOOK,
    /** Append a checkpoint and report it by {@link #onCheckpoint}. */
    WRITE
  }

  /**
   * Decides what to do.
   *
   * @param version configuration version in force
   * @param rank place of this instance among the live members, from 0
   * @param log offsets that the configuration stream holds, as last read
   * @param now the time
   * @return the action
   */
  public Action next(long version, int rank, RetainedOffsets log, Instant now) {
    check(rank >= 0, "rank", "must not be negative");
    if (version == 0 || version < lastVersion || !isDue(version, log, now)) {
      dueSince = null;
      looked = false;
      return Action.WAIT;
    }
    if (dueSince == null) {
      dueSince = now;
    }
    Duration wait = policy.standByDelay().multipliedBy(Math.min(rank, MAX_RANK));
    if (now.isBefore(dueSince.plus(wait))) {
      return Action.WAIT;
    }
    return looked ? Action.WRITE : Action.LOOK;
  }

  /**
   * Takes a valid checkpoint that this instance has read or written.
   *
   * @param version configuration version of the checkpoint
   * @param at when it was read or written
   */
  public void onCheckpoint(long version, Instant at) {
    if (version >= lastVersion) {
      lastVersion = version;
      lastAt = notNull(at, "at");
    }
    looked = false;
    dueSince = null;
  }

  /**
   * Takes what the stream holds at its end.
   *
   * @param version configuration version of the last valid checkpoint, 0 if there is none
   * @param age how long ago it was written, as far as is known
   * @param now the time
   */
  public void onLooked(long version, Duration age, Instant now) {
    if (version > lastVersion) {
      lastVersion = version;
      lastAt = now.minus(age);
    }
    looked = true;
  }

  /** Takes the failure of a look or of a write; the next try begins anew after a delay. */
  public void onFailure(Instant now) {
    looked = false;
    dueSince = now.plus(policy.standByDelay());
  }

  private boolean isDue(long version, RetainedOffsets log, Instant now) {
    return version - lastVersion >= policy.maxRecords()
        || !now.isBefore(lastAt.plus(policy.maxAge()))
        || version > lastVersion && log.isNearEdge(lastVersion);
  }

  /**
   * Offsets that the log holds of the configuration stream.
   *
   * @param firstOffset oldest offset retained
   * @param nextOffset offset of the next record
   */
  public record RetainedOffsets(long firstOffset, long nextOffset) {

    /** Checks the fields. */
    public RetainedOffsets {
      check(
          firstOffset >= 0 && firstOffset <= nextOffset,
          "firstOffset",
          "must be between 0 and nextOffset");
    }

    /**
     * Returns whether the log has begun to drop records and half of the way to a version is gone.
     */
    boolean isNearEdge(long version) {
      return firstOffset > 0 && 2 * (version - firstOffset) < nextOffset - firstOffset;
    }
  }
}
