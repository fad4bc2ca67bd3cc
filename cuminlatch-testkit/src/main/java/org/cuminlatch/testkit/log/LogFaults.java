package org.cuminlatch.testkit.log;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicInteger;

/** Faults that the log shows at present. */
final class LogFaults {

  private final InstantSource clock;
  private final AtomicInteger answersToLose = new AtomicInteger();
  private volatile Instant outageEnd = Instant.MIN;
  private volatile Duration delay = Duration.ZERO;

  LogFaults(InstantSource clock) {
    this.clock = clock;
  }

  void outage(Duration length) {
    outageEnd = clock.instant().plus(length);
  }

  boolean outage() {
    return clock.instant().isBefore(outageEnd);
  }

  void loseAnswers(int count) {
    answersToLose.set(count);
  }

  boolean losesAnswer() {
    return answersToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
  }

  void delay(Duration newDelay) {
    delay = newDelay;
  }

  Duration delay() {
    return delay;
  }
}
