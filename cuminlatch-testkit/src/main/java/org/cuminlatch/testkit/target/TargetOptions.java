package org.cuminlatch.testkit.target;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;

/**
 * Options of a {@link Target}.
 *
 * @param port port to listen on at loopback, 0 for any free port
 * @param slots maximum number of concurrent requests
 * @param serviceTime execution time of a request
 * @param coldStart time after the start during which no request is answered
 * @param version target version in the header of each answer
 */
public record TargetOptions(
    int port, int slots, Duration serviceTime, Duration coldStart, String version) {

  /** Validates the components. */
  public TargetOptions {
    check(port >= 0 && port <= 65_535, "port", "must be between 0 and 65535");
    check(slots >= 1, "slots", "must be at least 1");
    notNull(serviceTime, "serviceTime");
    notNull(coldStart, "coldStart");
    notBlank(version, "version");
  }

  /**
   * Returns options for a free port, 6 slots, 5 ms per request and no cold start.
   *
   * @return the defaults
   */
  public static TargetOptions defaults() {
    return new TargetOptions(0, 6, Duration.ofMillis(5), Duration.ZERO, "v1");
  }
}
