package org.cuminlatch.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Plays requests without a pause to a target that names a limit, while its gate has faults. */
@DisplayName("A target that names a request limit")
class LimitedTargetFaultTests {

  private static final int SLOTS = 9;
  private static final Duration STEP = Duration.ofMillis(2);
  private static final Duration LENGTH = Duration.ofSeconds(40);

  /** Time from the first answer that names the limit from which the rule holds. */
  private static final Duration GRACE = Duration.ofSeconds(3);

  /** Time after which an entry node that has passed on such an answer must count it. */
  private static final Duration NOTICE_TIME = Duration.ofMillis(500);

  private static final Duration WINDOW = Duration.ofSeconds(4);

  private final List<Instant> sent = new ArrayList<>();
  private final List<Running> running = new ArrayList<>();
  private RequestRateLimit gate = new RequestRateLimit();
  private Instant now = Instant.EPOCH;
  private Instant namedAt = Instant.ofEpochSecond(1_000_000);

  private record Running(Instant sentAt, Instant answeredAt) {}

  /** Lets the gate process answers and send as many requests as it may. */
  private void runGate(double limit, Duration serviceTime) {
    running.removeIf(
        request -> {
          boolean answered = !request.answeredAt().isAfter(now);
          if (answered) {
            gate.onAnswer(OptionalDouble.of(limit), request.sentAt(), now);
            namedAt = now.isBefore(namedAt) ? now : namedAt;
          }
          return answered;
        });
    if (!now.isBefore(namedAt.plus(NOTICE_TIME))) {
      gate.assume(limit, now);
    }
    while (running.size() < gate.maxConcurrent(SLOTS, now) && gate.tryAcquire(now)) {
      sent.add(now);
      running.add(new Running(now, now.plus(serviceTime)));
    }
  }

  private void assertThatRuleHolds(double limit) {
    Instant from = namedAt.plus(GRACE);
    List<Instant> counted = sent.stream().filter(time -> !time.isBefore(from)).toList();
    for (Instant start : counted) {
      long inWindow =
          counted.stream()
              .filter(time -> !time.isBefore(start) && time.isBefore(start.plus(WINDOW)))
              .count();
      assertThat((double) inWindow, lessThanOrEqualTo(1.5 * limit * WINDOW.toSeconds() + 5));
    }
  }

  /** Guards against a restarted gate that does not know the limit. */
  @ParameterizedTest
  @CsvSource({
    "0, 50, 5000", "0, 1200, 5000", "0, 50, 2000", "0.5, 50, 5000", "0.5, 1200, 5000",
    "0.5, 50, 2000", "1, 1200, 2000", "3, 20, 2000", "3, 1200, 2000", "10, 1200, 5000",
    "10, 3000, 5000", "30, 20, 2000", "30, 1200, 2000"
  })
  void getsNoMoreThanTheRuleWhileItsNodeRestarts(
      double limit, long serviceMillis, long periodMillis) {
    Duration downTime = Duration.ofMillis(300);
    while (now.isBefore(Instant.EPOCH.plus(LENGTH))) {
      runGate(limit, Duration.ofMillis(serviceMillis));
      now = now.plus(STEP);
      if (now.toEpochMilli() % periodMillis == 0) {
        gate = new RequestRateLimit();
        running.clear();
        now = now.plus(downTime);
      }
    }
    assertThatRuleHolds(limit);
  }

  /** Guards against a burst of what has accumulated while a gate was frozen. */
  @ParameterizedTest
  @CsvSource({"0, 50", "0.5, 50", "0.5, 1200", "3, 20", "10, 1200", "30, 20", "120, 20"})
  void getsNoMoreThanTheRuleWhileItsNodeFreezes(double limit, long serviceMillis) {
    while (now.isBefore(Instant.EPOCH.plus(LENGTH))) {
      runGate(limit, Duration.ofMillis(serviceMillis));
      now = now.plus(now.toEpochMilli() % 2000 == 0 ? Duration.ofMillis(1700) : STEP);
    }
    assertThatRuleHolds(limit);
  }
}
