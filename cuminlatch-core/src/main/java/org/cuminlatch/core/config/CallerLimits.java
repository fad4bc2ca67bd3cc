package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;

/**
 * Limits on the size and the duration of the requests that a caller sends.
 *
 * @param maxHeaderBytes maximum size of a request's head, in bytes
 * @param maxBodyBytes maximum size of a request's body, in bytes
 * @param headerTimeout maximum time from the first byte of a request's head to its last
 * @param idleTimeout time without a request after which a kept-alive connection is closed
 */
public record CallerLimits(
    int maxHeaderBytes, long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

  /** Limits that apply if the configuration sets none. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16_384, 1 << 26, Duration.ofSeconds(5), Duration.ofSeconds(60));

  /** Validates the components. */
  public CallerLimits {
    check(maxHeaderBytes >= 1, "maxHeaderBytes", "must be at least 1");
    check(maxBodyBytes >= 0, "maxBodyBytes", "must not be negative");
    notNull(headerTimeout, "headerTimeout");
    notNull(idleTimeout, "idleTimeout");
  }
}
