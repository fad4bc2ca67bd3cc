package org.cuminlatch.core.spread;

import java.time.Instant;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.config.ConfigurationReplica;
import org.cuminlatch.core.spread.LogRequests.Stream;

/** Appends checkpoints to the log before the records since the last one leave its retention. */
final class CheckpointWriter {

  private final ConfigurationReplica replica;
  private final LogRequests requests;
  private final SpreadSettings settings;
  private final Backoff backoff;
  private long writtenVersion = -1;
  private long pendingVersion;
  private boolean appendPending;
  private Instant writtenAt;

  CheckpointWriter(
      ConfigurationReplica replica,
      LogRequests requests,
      SpreadSettings settings,
      RandomGenerator random) {
    this.replica = replica;
    this.requests = requests;
    this.settings = settings;
    this.backoff = new Backoff(settings.backoffBase(), settings.backoffLimit(), random);
  }

  /**
   * Appends a checkpoint if one is due and no append is pending.
   *
   * @param checkpointVersion version of the checkpoint that was read from the log, 0 if none
   * @param firstOffset oldest offset that the log retains
   * @param now the time
   */
  void onTick(long checkpointVersion, long firstOffset, Instant now) {
    if (writtenAt == null) {
      writtenAt = now;
      writtenVersion = checkpointVersion;
    }
    if (appendPending || !backoff.isElapsed(now) || !isDue(firstOffset, now)) {
      return;
    }
    appendPending = true;
    pendingVersion = replica.version();
    requests.append(Stream.CHECKPOINTS, replica.checkpoint());
  }

  private boolean isDue(long firstOffset, Instant now) {
    long version = replica.version();
    if (version == 0 || version < writtenVersion) {
      return false;
    }
    boolean enoughRecords = version - writtenVersion >= settings.checkpointRecords();
    boolean intervalElapsed = !writtenAt.plus(settings.checkpointInterval()).isAfter(now);
    return enoughRecords
        || intervalElapsed
        || version > writtenVersion && isNearRetentionLimit(firstOffset);
  }

  /**
   * Returns whether the log has begun to drop records and the last checkpoint is in the older half
   * of the retained records.
   */
  private boolean isNearRetentionLimit(long firstOffset) {
    return firstOffset > 0 && 2 * (writtenVersion - firstOffset) < replica.version() - firstOffset;
  }

  void onAppended(Instant now) {
    appendPending = false;
    backoff.onSuccess();
    writtenVersion = pendingVersion;
    writtenAt = now;
  }

  void onFailure(Instant now) {
    appendPending = false;
    backoff.onFailure(now);
  }
}
