package org.cuminlatch.core.spread;

import org.cuminlatch.core.config.Snapshot;

/** Hears, on the control thread, what the distribution of configuration brings about. */
public interface SpreadListener {

  /**
   * A higher configuration version is in force at this instance.
   *
   * @param snapshot the configuration
   */
  void onInForce(Snapshot snapshot);

  /**
   * Two members have different states at one version; this is a defect and must be reported loudly.
   *
   * @param version the version
   * @param hashes the two abbreviated hashes
   */
  default void onDivergence(long version, String hashes) {}

  /**
   * The region's reader has a new count of members that have the newest version in force.
   *
   * @param inForce the count
   */
  default void onProgress(InForce inForce) {}

  /**
   * A checkpoint was refused or records did not continue the own ones; the state is unchanged.
   *
   * @param reason one sentence for the operator
   */
  default void onRefused(String reason) {}
}
