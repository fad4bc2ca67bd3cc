package org.cuminlatch.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("The request rate limit of a target")
class RequestRateLimitTests {

  private final RequestRateLimit limit = new RequestRateLimit();
  private Instant now = Instant.EPOCH;

  private boolean name(double perSecond) {
    return limit.onAnswer(OptionalDouble.of(perSecond), now, now);
  }

  private void advance(long millis) {
    now = now.plusMillis(millis);
  }

  @Nested
  class WhenNoLimitIsNamed {

    @Test
    void permitsEachRequest() {
      for (int i = 0; i < 1000; i++) {
        assertThat(limit.tryAcquire(now), is(true));
      }
      assertThat(limit.perSecond(), is(OptionalDouble.empty()));
      assertThat(limit.timeUntilPermitted(1000, now), is(Duration.ZERO));
    }
  }

  @Nested
  class WhenLimitIsNamed {

    /** Requests of a window in which one and a half times the limit and 5 more are too many. */
    private static final Duration WINDOW = Duration.ofSeconds(4);

    @ParameterizedTest
    @ValueSource(doubles = {0.5, 1, 3.7, 25.1, 90.7, 400})
    void permitsNoMoreThanTheRateInAnyWindow(double perSecond) {
      SplittableRandom random = new SplittableRandom(11);
      for (int i = 0; i < 500; i++) {
        limit.tryAcquire(now);
      }
      name(perSecond);
      Deque<Instant> permitted = new ArrayDeque<>();
      int all = 0;
      for (int i = 0; i < 50_000; i++) {
        advance(random.nextInt(10) == 0 ? random.nextInt(20) : 0);
        if (limit.tryAcquire(now)) {
          permitted.add(now);
          all++;
        }
        while (!permitted.isEmpty() && permitted.peek().isBefore(now.minus(WINDOW))) {
          permitted.poll();
        }
        assertThat(
            (double) permitted.size(),
            lessThanOrEqualTo(perSecond * WINDOW.toSeconds() + Math.max(1, perSecond / 4) + 1));
      }
      double seconds = now.toEpochMilli() / 1000.0;
      assertThat((double) all, greaterThan(0.9 * perSecond * seconds - 1));
    }

    @Test
    void permitsNothingAtFirst() {
      limit.tryAcquire(now);
      name(10);

      assertThat(limit.tryAcquire(now), is(false));
      assertThat(limit.timeUntilPermitted(1, now), is(Duration.ofMillis(100)));
      assertThat(limit.timeUntilPermitted(3, now), is(Duration.ofMillis(300)));
    }

    @Test
    void keepsPermitsWhenTheRateChanges() {
      name(10);
      advance(100);
      name(20);

      assertThat(limit.tryAcquire(now), is(true));
      assertThat(limit.tryAcquire(now), is(false));
    }

    @Test
    void stillPermitsFewRequestsIfItIsZero() {
      name(0);
      advance(2000);

      assertThat(limit.tryAcquire(now), is(true));
      assertThat(limit.tryAcquire(now), is(false));
    }

    @Test
    void reportsOnlyChanges() {
      assertThat(name(10), is(true));
      assertThat(name(10), is(false));
      assertThat(name(11), is(true));
    }
  }

  @Nested
  class WhenAnAnswerNamesNone {

    @Test
    void endsIfItsRequestWasSentLater() {
      name(10);
      advance(1);

      assertThat(limit.onAnswer(OptionalDouble.empty(), now, now), is(true));
      assertThat(limit.perSecond(), is(OptionalDouble.empty()));
      assertThat(limit.tryAcquire(now), is(true));
    }

    @Test
    void stillHoldsIfItsRequestWasSentBefore() {
      final Instant sentAt = now;
      advance(1);
      name(10);
      advance(1);

      assertThat(limit.onAnswer(OptionalDouble.empty(), sentAt, now), is(false));
      assertThat(limit.perSecond(), is(OptionalDouble.of(10)));
    }
  }

  @Nested
  class BeforeTheFirstAnswer {

    @Test
    void permitsFewConcurrentRequests() {
      assertThat(limit.maxConcurrent(13, now), is(4));
      assertThat(limit.maxConcurrent(2, now), is(2));

      limit.onAnswer(OptionalDouble.empty(), now, now);

      assertThat(limit.maxConcurrent(13, now), is(13));
    }

    @Test
    void permitsAllSlotsIfTheAnswerTakesLong() {
      limit.tryAcquire(now);
      advance(999);
      limit.tryAcquire(now);
      assertThat(limit.maxConcurrent(13, now), is(4));

      advance(1);

      assertThat(limit.maxConcurrent(13, now), is(13));
    }
  }
}
