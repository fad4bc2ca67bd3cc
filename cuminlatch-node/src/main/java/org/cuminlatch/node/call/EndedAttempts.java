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
 * Attempts that have ended, with the last short answers in case their connections were lost. Not
 * safe for use by many threads.
 */
final class EndedAttempts {

  static final int KEPT_ANSWER_BYTES = 1 << 20;

  private final AttemptHistory<AttemptOutcome> memory;
  private final Map<AttemptId, CallFrame> answers = new LinkedHashMap<>();
  private long answerBytes;

  EndedAttempts(Instant now) {
    this.memory = new AttemptHistory<>(now);
  }

  void remember(AttemptId attempt, AttemptOutcome outcome, Instant now) {
    memory.put(attempt, outcome, now);
  }

  void keep(AttemptId attempt, CallFrame whole) {
    answers.put(attempt, whole);
    answerBytes += whole.getSerializedSize();
    Iterator<CallFrame> oldest = answers.values().iterator();
    while (answerBytes > KEPT_ANSWER_BYTES) {
      answerBytes -= oldest.next().getSerializedSize();
      oldest.remove();
    }
  }

  boolean contains(AttemptId attempt) {
    return memory.find(attempt).isPresent();
  }

  Optional<CallFrame> answer(AttemptId attempt) {
    return Optional.ofNullable(answers.get(attempt));
  }

  /**
   * Returns whether an attempt that neither runs nor waits was not run; from then on it never will
   * be.
   */
  boolean provesNotRun(AttemptId attempt, Duration age, Instant now) {
    Optional<AttemptOutcome> known = memory.find(attempt);
    if (known.isPresent()) {
      return known.get() == AttemptOutcome.NOT_RUN;
    }
    boolean neverSeen = memory.covers(age, now);
    memory.put(attempt, neverSeen ? AttemptOutcome.NOT_RUN : AttemptOutcome.UNKNOWN, now);
    return neverSeen;
  }
}
