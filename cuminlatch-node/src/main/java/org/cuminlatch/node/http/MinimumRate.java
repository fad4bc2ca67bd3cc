package org.cuminlatch.node.http;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * Checks that a transfer makes progress: a minimum number of bytes within each period. Time in
 * which the transfer is paused by this side does not count.
 */
final class MinimumRate {

  private final InstantSource clock;
  private final Duration period;
  private final long bytesPerPeriod;
  private Instant periodStart;
  private Instant lastProgress;
  private long bytesInPeriod;

  MinimumRate(InstantSource clock, Duration period, long bytesPerPeriod) {
    this.clock = notNull(clock, "clock");
    this.period = notNull(period, "period");
    check(bytesPerPeriod >= 1, "bytesPerPeriod", "must be at least 1");
    this.bytesPerPeriod = bytesPerPeriod;
    restart();
  }

  /** Begins a new period, as at the start of a transfer and after a pause. */
  void restart() {
    periodStart = clock.instant();
    lastProgress = periodStart;
    bytesInPeriod = 0;
  }

  void record(long bytes) {
    if (bytes > 0) {
      bytesInPeriod += bytes;
      lastProgress = clock.instant();
    }
  }

  /** Returns whether a period has ended in which too little was transferred. */
  boolean isMissed() {
    Instant now = clock.instant();
    if (Duration.between(periodStart, now).compareTo(period) < 0) {
      return false;
    }
    if (bytesInPeriod < bytesPerPeriod) {
      return true;
    }
    periodStart = now;
    bytesInPeriod = 0;
    return false;
  }

  /** Returns the time since the last transferred byte. */
  Duration sinceProgress() {
    return Duration.between(lastProgress, clock.instant());
  }
}
