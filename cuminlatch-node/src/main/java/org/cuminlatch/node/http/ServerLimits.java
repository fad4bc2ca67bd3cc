package org.cuminlatch.node.http;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.util.function.Consumer;

/**
 * Limits of a server that protect its process from clients that occupy too much of it.
 *
 * @param budget budget of the bodies, shared by all servers of a process
 * @param maxConnections maximum number of open connections
 * @param ratePeriod time within which a body or the reading of a response must progress
 * @param minBytesPerPeriod progress that is required in each such period, in bytes
 * @param listener called on the server's event loop for each request refused and each connection
 *     closed because of a limit
 */
public record ServerLimits(
    BodyBudget budget,
    int maxConnections,
    Duration ratePeriod,
    int minBytesPerPeriod,
    Consumer<ServerLimit> listener) {

  /**
   * Time within which a transfer must progress. A mobile client that loses its network for some
   * seconds goes on within it.
   */
  public static final Duration DEFAULT_RATE_PERIOD = Duration.ofSeconds(15);

  /**
   * Minimum progress in {@link #DEFAULT_RATE_PERIOD}: 1 KiB/s, an eighth of a link of 64 kbit/s. A
   * body of 64 MiB needs 1 MiB/s anyway to end within the idle timeout of 60 s.
   */
  public static final int DEFAULT_MIN_BYTES_PER_PERIOD = 15 * 1024;

  /** Validates the components. */
  public ServerLimits {
    notNull(budget, "budget");
    check(maxConnections >= 1, "maxConnections", "must be at least 1");
    notNull(ratePeriod, "ratePeriod");
    check(minBytesPerPeriod >= 1, "minBytesPerPeriod", "must be at least 1");
    notNull(listener, "listener");
  }

  /**
   * Returns limits with the default rate.
   *
   * @param budget budget of the bodies
   * @param maxConnections maximum number of open connections
   * @param listener called for each decision because of a limit
   * @return the limits
   */
  public static ServerLimits of(
      BodyBudget budget, int maxConnections, Consumer<ServerLimit> listener) {
    return new ServerLimits(
        budget, maxConnections, DEFAULT_RATE_PERIOD, DEFAULT_MIN_BYTES_PER_PERIOD, listener);
  }
}
