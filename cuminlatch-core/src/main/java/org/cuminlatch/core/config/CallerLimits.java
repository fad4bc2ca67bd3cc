package org.cuminlatch.core.config;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;

/**
 * What a caller may send and how long it may take.
 *
 * @param maxHeaderBytes most bytes of a request's head
 * @param maxBodyBytes most bytes of a request's body
 * @param headerTimeout longest time from the first byte of a request's head to its last
 * @param idleTimeout time without a request after which a kept connection is closed
 */
public record CallerLimits(
    int maxHeaderBytes, long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

  /** Limits of a configuration that names none. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16_384, 1 << 26, Duration.ofSeconds(5), Duration.ofSeconds(60));

  /** Checks the fields. */
  public CallerLimits {
    check(maxHeaderBytes >= 1, "maxHeaderBytes", "must be at least 1");
    check(maxBodyBytes >= 0, "maxBodyBytes", "must not be negative");
    notNull(headerTimeout, "headerTimeout");
    notNull(idleTimeout, "idleTimeout");
  }
}
