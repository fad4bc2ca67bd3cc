package org.cuminlatch.core.spread;

import java.time.Instant;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.config.ConfigurationReplica;
import org.cuminlatch.core.spread.LogRequests.Stream;

/** Appends checkpoints often enough that one is always ahead of the log's retention. */
final class CheckpointWriting {

  private final ConfigurationReplica replica;
  private final LogRequests requests;
  private final SpreadSettings settings;
  private final Backoff backoff;
  private long writtenVersion = -1;
  private long pendingVersion;
  private boolean outstanding;
  private Instant writtenAt;

  CheckpointWriting(
      ConfigurationReplica replica,
      LogRequests requests,
      SpreadSettings settings,
      RandomGenerator random) {
    this.replica = replica;
    this.requests = requests;
    this.settings = settings;
    this.backoff = new Backoff(settings.backoffBase(), settings.backoffLimit(), random);
  }

  void onTick(long knownVersion, long firstOffset, Instant now) {
    if (writtenAt == null) {
      writtenAt = now;
      writtenVersion = knownVersion;
    }
    if (outstanding || !backoff.isOver(now) || !isDue(firstOffset, now)) {
      return;
    }
    outstanding = true;
    pendingVersion = replica.version();
    requests.append(Stream.CHECKPOINTS, replica.checkpoint());
  }

  private boolean isDue(long firstOffset, Instant now) {
    long version = replica.version();
    if (version == 0 || version < writtenVersion) {
      return false;
    }
    boolean manyRecords = version - writtenVersion >= settings.checkpointRecords();
    boolean longAgo = !writtenAt.plus(settings.checkpointInterval()).isAfter(now);
    return manyRecords || longAgo || version > writtenVersion && isNearEdge(firstOffset);
  }

  /** Returns whether the log has begun to drop records and half of the way to it is gone. */
  private boolean isNearEdge(long firstOffset) {
    return firstOffset > 0 && 2 * (writtenVersion - firstOffset) < replica.version() - firstOffset;
  }

  void onAppended(Instant now) {
    outstanding = false;
    backoff.succeeded();
    writtenVersion = pendingVersion;
    writtenAt = now;
  }

  void onFailure(Instant now) {
    outstanding = false;
    backoff.failed(now);
  }
}
