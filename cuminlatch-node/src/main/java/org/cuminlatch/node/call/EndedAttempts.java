package org.cuminlatch.node.call;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.cuminlatch.core.retry.AttemptHistory;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.core.retry.AttemptOutcome;
import org.cuminlatch.wire.proto.call.CallFrame;

/**
 * Outcomes of ended attempts, with the most recent short answers, which are sent again if their
 * connections were lost. Not thread-safe.
 */
final class EndedAttempts {

  static final int MAX_STORED_ANSWER_BYTES = 1 << 20;

  private final AttemptHistory<AttemptOutcome> history;
  private final Map<AttemptId, CallFrame> answers = new LinkedHashMap<>();
  private long answerBytes;

  EndedAttempts(Instant now) {
    this.history = new AttemptHistory<>(now);
  }

  void recordOutcome(AttemptId attempt, AttemptOutcome outcome, Instant now) {
    history.put(attempt, outcome, now);
  }

  void storeAnswer(AttemptId attempt, CallFrame wholeAnswer) {
    answers.put(attempt, wholeAnswer);
    answerBytes += wholeAnswer.getSerializedSize();
    Iterator<CallFrame> oldest = answers.values().iterator();
    while (answerBytes > MAX_STORED_ANSWER_BYTES) {
      answerBytes -= oldest.next().getSerializedSize();
      oldest.remove();
    }
  }

  boolean contains(AttemptId attempt) {
    return history.find(attempt).isPresent();
  }

  Optional<CallFrame> answer(AttemptId attempt) {
    return Optional.ofNullable(answers.get(attempt));
  }

  /**
   * Returns whether an attempt that is neither running nor queued was provably not run. If it never
   * arrived, it is recorded as ended, so that it can't run later either.
   */
  boolean provesNotRun(AttemptId attempt, Duration age, Instant now) {
    Optional<AttemptOutcome> previous = history.find(attempt);
    if (previous.isPresent()) {
      return previous.get() == AttemptOutcome.NOT_RUN;
    }
    boolean neverArrived = history.covers(age, now);
    history.put(attempt, neverArrived ? AttemptOutcome.NOT_RUN : AttemptOutcome.UNKNOWN, now);
    return neverArrived;
  }
}
