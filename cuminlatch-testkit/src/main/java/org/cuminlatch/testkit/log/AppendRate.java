package org.cuminlatch.testkit.log;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** Token bucket that holds the tokens of one second. */
final class AppendRate {

  private final InstantSource clock;
  private final double perSecond;
  private double tokens;
  private Instant filledAt;

  AppendRate(InstantSource clock, int perSecond) {
    this.clock = clock;
    this.perSecond = perSecond;
    this.tokens = perSecond;
    this.filledAt = clock.instant();
  }

  synchronized boolean tryAppend() {
    Instant now = clock.instant();
    double seconds = Duration.between(filledAt, now).toNanos() / 1e9;
    tokens = Math.min(perSecond, tokens + seconds * perSecond);
    filledAt = now;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
