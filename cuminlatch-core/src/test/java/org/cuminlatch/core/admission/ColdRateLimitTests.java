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
import org.cuminlatch.core.target.ColdState;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("The limit of a cold target")
class ColdRateLimitTests {

  private final SplittableRandom random = new SplittableRandom(13);
  private final Deque<Instant> sent = new ArrayDeque<>();
  private ColdRateLimit cold = new ColdRateLimit();
  private RequestRateLimit limit = new RequestRateLimit(cold);
  private Instant now = Instant.EPOCH;
  private int sentInAll;

  private static ColdState coldFor(double perSecond, Instant until) {
    return new ColdState(perSecond, until, Instant.MAX);
  }

  /** Sends requests that arrive in bursts; checks the number in each second against the rule. */
  private void send(double perSecond, Duration length) {
    Instant end = now.plus(length);
    while (now.isBefore(end)) {
      now = now.plusMillis(random.nextInt(40) == 0 ? random.nextInt(100) : random.nextInt(3));
      if (limit.tryAcquire(now)) {
        sent.add(now);
        sentInAll++;
      }
      while (!sent.isEmpty() && sent.peek().isBefore(now.minusSeconds(1))) {
        sent.poll();
      }
      assertThat((double) sent.size(), lessThanOrEqualTo(perSecond * 1.5 + 8));
    }
  }

  @ParameterizedTest
  @ValueSource(doubles = {0, 0.5, 3, 8, 25.5, 120})
  void permitsItsRateAndNoMoreThanTheRuleInAnySecond(double perSecond) {
    cold.update(coldFor(perSecond, Instant.MAX), now);

    send(perSecond, Duration.ofSeconds(120));

    double rate = Math.max(PermitBucket.MIN_RATE_PER_SECOND, perSecond);
    assertThat((double) sentInAll, lessThanOrEqualTo(rate * 120 + rate / 4 + 1));
    assertThat((double) sentInAll, greaterThan(rate * 120 * 0.85));
  }

  /** Guards against a burst of a gate that does not know what its predecessor has just sent. */
  @ParameterizedTest
  @ValueSource(doubles = {3, 25.5, 120})
  void holdsWhileTheGateIsRestartedAgainAndAgain(double perSecond) {
    for (int i = 0; i < 60; i++) {
      cold = new ColdRateLimit();
      limit = new RequestRateLimit(cold);
      cold.update(coldFor(perSecond, Instant.MAX), now);
      send(perSecond, Duration.ofMillis(random.nextInt(2500)));
    }
  }

  @Test
  void startsWithoutPermitsWhenTheTargetBecomesColdAgain() {
    cold.update(coldFor(10, Instant.MIN), now);
    now = now.plusSeconds(30);
    assertThat(limit.tryAcquire(now), is(true));

    cold.update(coldFor(10, now.plusSeconds(5)), now);

    assertThat(limit.tryAcquire(now), is(false));
    assertThat(limit.timeUntilPermitted(2, now), is(Duration.ofMillis(200)));
  }

  /** Guards against a frozen gate that relies on what it knew before. */
  @Test
  void appliesOnceNoReportSaysOtherwise() {
    cold.update(new ColdState(10, Instant.MIN, now.plusSeconds(4)), now);
    assertThat(cold.applies(now), is(false));

    now = now.plusSeconds(4);

    assertThat(cold.applies(now), is(true));
    assertThat(limit.tryAcquire(now), is(false));
  }

  /** Guards against a restarted gate that gets requests before it has read the configuration. */
  @Test
  void isTakenFromEntryNodesUntilTheConfigurationIsRead() {
    cold.assume(0, now);
    assertThat(limit.permittedPerSecond(now), is(Double.POSITIVE_INFINITY));
    cold.assume(10, now);
    assertThat(limit.permittedPerSecond(now), is(10.0));

    cold.update(ColdState.UNLIMITED, now);
    cold.assume(10, now);

    assertThat(limit.permittedPerSecond(now), is(Double.POSITIVE_INFINITY));
  }

  @Test
  void endsByItself() {
    cold.update(coldFor(10, now.plusSeconds(5)), now);
    assertThat(limit.permittedPerSecond(now), is(10.0));

    now = now.plusSeconds(5);

    assertThat(limit.permittedPerSecond(now), is(Double.POSITIVE_INFINITY));
    for (int i = 0; i < 100; i++) {
      assertThat(limit.tryAcquire(now), is(true));
    }
  }

  @Test
  void holdsBesideTheLimitThatTheTargetNames() {
    cold.update(coldFor(10, Instant.MAX), now);
    limit.onAnswer(OptionalDouble.of(4), now, now);

    assertThat(limit.permittedPerSecond(now), is(4.0));
    assertThat(limit.timeUntilPermitted(1, now), is(Duration.ofMillis(250)));
    assertThat(limit.perSecond(), is(OptionalDouble.of(4)));
  }
}
