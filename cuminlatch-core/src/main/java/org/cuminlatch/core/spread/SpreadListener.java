package org.cuminlatch.core.spread;

import org.cuminlatch.core.config.Snapshot;

/** Listener for the distribution of configuration, called on the control thread. */
public interface SpreadListener {

  /**
   * Called after a higher configuration version has come into force at this instance.
   *
   * @param snapshot the configuration
   */
  void onInForce(Snapshot snapshot);

  /**
   * Called when two members have different states at the same version. This is a defect that the
   * operator must see.
   *
   * @param version the version
   * @param hashes the two abbreviated hashes
   */
  default void onDivergence(long version, String hashes) {}

  /**
   * Called on the reader of the region with a new count of members that have the newest version in
   * force.
   *
   * @param inForce the count
   */
  default void onProgress(InForce inForce) {}

  /**
   * Called when a checkpoint was refused or the records read left a gap; the state is unchanged.
   *
   * @param reason one sentence for the operator
   */
  default void onRefused(String reason) {}
}
