package org.cuminlatch.testkit.target;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;

/**
 * Options of a target.
 *
 * @param port port to listen on at loopback, 0 for any free one
 * @param slots requests that it runs at a time
 * @param serviceTime how long it runs a request
 * @param coldStart how long after its start it answers nothing
 * @param version target version that it names in its answers
 */
public record TargetOptions(
    int port, int slots, Duration serviceTime, Duration coldStart, String version) {

  /** Checks the fields. */
  public TargetOptions {
    check(port >= 0 && port <= 65_535, "port", "must be between 0 and 65535");
    check(slots >= 1, "slots", "must be at least 1");
    notNull(serviceTime, "serviceTime");
    notNull(coldStart, "coldStart");
    notBlank(version, "version");
  }

  /**
   * Returns options for a free port, 6 slots, 5 ms a request and no cold start.
   *
   * @return the defaults
   */
  public static TargetOptions defaults() {
    return new TargetOptions(0, 6, Duration.ofMillis(5), Duration.ZERO, "v1");
  }
}
