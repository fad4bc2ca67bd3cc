package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides when a node asks another one for a configuration that the store has not delivered.
 *
 * <p>The store usually delivers to all within moments, so that a node which hears of a newer
 * version waits a little; a connection to the store that has gone silent looks like a store without
 * news. Not safe for use by many threads.
 */
public final class CatchUp {

  /** Time that the store has to deliver a version which another node has in force. */
  static final Duration PATIENCE = Duration.ofMillis(300);

  /** Time after which what was asked for is asked for again. */
  static final Duration REPEAT = Duration.ofMillis(900);

  private long heardOf = Long.MIN_VALUE;
  private Instant askAt = Instant.MAX;

  /** Creates a node that is not behind. */
  public CatchUp() {}

  /**
   * Takes the present versions.
   *
   * @param own version in force here
   * @param newest highest version that another node has in force
   * @param now present time
   * @return whether to ask for it now
   */
  public boolean mayAsk(long own, long newest, Instant now) {
    notNull(now, "now");
    if (newest <= own) {
      heardOf = Long.MIN_VALUE;
      return false;
    }
    if (heardOf <= own) {
      heardOf = newest;
      askAt = now.plus(PATIENCE);
    }
    if (now.isBefore(askAt)) {
      return false;
    }
    askAt = now.plus(REPEAT);
    return true;
  }
}
