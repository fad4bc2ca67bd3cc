package org.cuminlatch.core.target;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides whether connections to a server may carry more than one request.
 *
 * <p>A server that sends bytes which no request has asked for may do so again, also while the next
 * request waits for its response, which is lost then. For a while each request gets a connection of
 * its own, on which nothing can precede its response. Not thread-safe.
 */
public final class ConnectionReusePolicy {

  /** Time after unsolicited bytes for which connections are not reused. */
  private static final Duration SUSPENSION = Duration.ofSeconds(2);

  private Instant suspendedUntil = Instant.MIN;

  /**
   * Records that the server has sent bytes which no request has asked for.
   *
   * @param now current time
   */
  public void recordUnsolicitedBytes(Instant now) {
    suspendedUntil = notNull(now, "now").plus(SUSPENSION);
  }

  /**
   * Returns whether a connection that has carried a response may carry another request.
   *
   * @param now current time
   * @return true if the server has sent only what it was asked for, for some time
   */
  public boolean permitsReuse(Instant now) {
    return !notNull(now, "now").isBefore(suspendedUntil);
  }
}
