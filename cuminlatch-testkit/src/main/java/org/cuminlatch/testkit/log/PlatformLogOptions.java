package org.cuminlatch.testkit.log;

import static org.cuminlatch.core.Preconditions.check;

/**
 * Options of a {@link PlatformLog}.
 *
 * @param port port to listen on at loopback, 0 for any free port
 * @param retentionRecords number of records that each stream retains
 * @param appendsPerSecond maximum number of appends per second over all streams
 */
public record PlatformLogOptions(int port, int retentionRecords, int appendsPerSecond) {

  /** Validates the components. */
  public PlatformLogOptions {
    check(port >= 0 && port <= 65_535, "port", "must be between 0 and 65535");
    check(retentionRecords >= 1, "retentionRecords", "must be at least 1");
    check(appendsPerSecond >= 1, "appendsPerSecond", "must be at least 1");
  }

  /**
   * Returns options for a free port, a long retention and several hundred appends per second.
   *
   * @return the defaults
   */
  public static PlatformLogOptions defaults() {
    return new PlatformLogOptions(0, 100_000, 300);
  }
}
