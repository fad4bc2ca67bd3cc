package org.cuminlatch.testkit.log;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicInteger;

/** Faults that are currently injected into the log. */
final class LogFaults {

  private final InstantSource clock;
  private final AtomicInteger answersToLose = new AtomicInteger();
  private volatile Instant outageEnd = Instant.MIN;
  private volatile Duration answerDelay = Duration.ZERO;

  LogFaults(InstantSource clock) {
    this.clock = clock;
  }

  void startOutage(Duration duration) {
    outageEnd = clock.instant().plus(duration);
  }

  boolean outageActive() {
    return clock.instant().isBefore(outageEnd);
  }

  void setAnswersToLose(int count) {
    answersToLose.set(count);
  }

  boolean consumeLostAnswer() {
    return answersToLose.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0;
  }

  void setAnswerDelay(Duration newDelay) {
    answerDelay = newDelay;
  }

  Duration answerDelay() {
    return answerDelay;
  }
}
