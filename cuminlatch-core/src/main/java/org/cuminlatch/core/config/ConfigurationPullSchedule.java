package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;

/**
 * Schedules when a node pulls from a peer a configuration that the store has not delivered.
 *
 * <p>The store usually delivers a version to all nodes almost at once, so a node that observes a
 * newer version on a peer waits briefly before it pulls. The pull is needed because a silent
 * connection to the store cannot be distinguished from a store without changes. Not thread-safe.
 */
public final class ConfigurationPullSchedule {

  /** Time that the store has to deliver a version that a peer has in force. */
  static final Duration STORE_DELIVERY_GRACE = Duration.ofMillis(300);

  /** Time after which a pull that brought no new version is repeated. */
  static final Duration PULL_RETRY_INTERVAL = Duration.ofMillis(900);

  private long newestObserved = Long.MIN_VALUE;
  private Instant nextPull = Instant.MAX;

  /** Creates a schedule for a node that is not behind. */
  public ConfigurationPullSchedule() {}

  /**
   * Decides whether to pull now; a positive answer schedules the next pull.
   *
   * @param own version in force on this node
   * @param newest highest version that a peer has in force
   * @param now the current time
   * @return whether to pull the newest version now
   */
  public boolean shouldPull(long own, long newest, Instant now) {
    notNull(now, "now");
    if (newest <= own) {
      newestObserved = Long.MIN_VALUE;
      return false;
    }
    if (newestObserved <= own) {
      newestObserved = newest;
      nextPull = now.plus(STORE_DELIVERY_GRACE);
    }
    if (now.isBefore(nextPull)) {
      return false;
    }
    nextPull = now.plus(PULL_RETRY_INTERVAL);
    return true;
  }
}
