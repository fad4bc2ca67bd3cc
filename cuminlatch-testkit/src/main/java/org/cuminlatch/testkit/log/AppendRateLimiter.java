package org.cuminlatch.testkit.log;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** Token bucket for appends, with a capacity of the tokens of one second. */
final class AppendRateLimiter {

  private final InstantSource clock;
  private final double ratePerSecond;
  private double tokens;
  private Instant lastRefill;

  AppendRateLimiter(InstantSource clock, int ratePerSecond) {
    this.clock = clock;
    this.ratePerSecond = ratePerSecond;
    this.tokens = ratePerSecond;
    this.lastRefill = clock.instant();
  }

  synchronized boolean tryAppend() {
    Instant now = clock.instant();
    double elapsedSeconds = Duration.between(lastRefill, now).toNanos() / 1e9;
    tokens = Math.min(ratePerSecond, tokens + elapsedSeconds * ratePerSecond);
    lastRefill = now;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
