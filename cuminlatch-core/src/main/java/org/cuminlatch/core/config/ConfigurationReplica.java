package org.cuminlatch.core.config;

import java.util.List;

/**
 * An instance's copy of the configuration: the fold over the log as far as it has been read.
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
   * Folds the records that follow {@link #version()} without a gap; repeats are ignored.
   *
   * @param records records in the order of their offsets
   * @return how many records were folded; fewer than given if an offset is missing
   */
  int fold(List<LogRecord> records);

  /**
   * Returns retained records for a peer that has read less.
   *
   * @param offset first offset wanted
   * @param maxBytes most bytes of content to return, at least one record is returned if retained
   * @return consecutive records from the offset on; empty if the offset is no longer retained here
   */
  List<LogRecord> recordsFrom(long offset, int maxBytes);

  /**
   * Returns the offset of the oldest record that {@link #recordsFrom} can return.
   *
   * @return the oldest offset, equal to {@link #version()} if none is retained
   */
  long oldestRetained();

  /**
   * Encodes the state, the same bytes whoever encodes it.
   *
   * @return the checkpoint at {@link #version()}
   */
  Bytes checkpoint();

  /**
   * Replaces the state by that of a checkpoint if the checkpoint is newer.
   *
   * @param checkpoint an encoded checkpoint
   * @return whether the state was replaced
   * @throws org.cuminlatch.core.error.CuminlatchException with {@code INVALID_CHECKPOINT} if the
   *     checkpoint is truncated, corrupt or of an unknown format; the state is unchanged then
   */
  boolean restore(Bytes checkpoint);
}
