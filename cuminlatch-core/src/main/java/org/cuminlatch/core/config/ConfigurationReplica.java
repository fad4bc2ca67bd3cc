package org.cuminlatch.core.config;

import java.util.List;

/**
 * An instance's copy of the configuration: the fold over the part of the log read so far.
 *
 * <p>Two replicas at the same configuration version hold the same state. Used by the control thread
 * only; {@link #snapshot()} may be handed to other threads.
 */
public interface ConfigurationReplica {

  /**
   * Returns the configuration version: the offset of the next record to fold.
   *
   * @return the version, 0 before any record
   */
  long version();

  /**
   * Returns the state at {@link #version()}.
   *
   * @return an immutable snapshot
   */
  Snapshot snapshot();

  /**
   * Folds the records that follow {@link #version()} without a gap; records that were already
   * folded are ignored.
   *
   * @param records records in the order of their offsets
   * @return the number of records folded; fewer than given if an offset is missing
   */
  int fold(List<LogRecord> records);

  /**
   * Returns retained records for a peer that is behind.
   *
   * @param offset first offset to return
   * @param maxBytes maximum number of content bytes to return; at least one record is returned if
   *     the offset is retained
   * @return consecutive records from the offset onwards; empty if the offset is not retained
   */
  List<LogRecord> recordsFrom(long offset, int maxBytes);

  /**
   * Returns the offset of the oldest record that {@link #recordsFrom} can return.
   *
   * @return the oldest offset, equal to {@link #version()} if none is retained
   */
  long oldestRetained();

  /**
   * Encodes the state; all instances at one version produce the same bytes.
   *
   * @return the checkpoint at {@link #version()}
   */
  Bytes checkpoint();

  /**
   * Replaces the state with that of a checkpoint if the checkpoint is newer.
   *
   * @param checkpoint an encoded checkpoint
   * @return whether the state was replaced
   * @throws org.cuminlatch.core.error.CuminlatchException with {@code INVALID_CHECKPOINT} if the
   *     checkpoint is truncated, corrupt or of an unknown format; the state is then unchanged
   */
  boolean restore(Bytes checkpoint);
}
