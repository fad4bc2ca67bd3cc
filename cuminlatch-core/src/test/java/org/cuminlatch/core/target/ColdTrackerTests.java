package org.cuminlatch.core.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.sameInstance;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.cuminlatch.core.config.ColdStart;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Whether a target is cold")
class ColdTrackerTests {

  private static final Instant BORN = Instant.ofEpochSecond(1000);
  private static final Optional<ColdStart> LIMIT =
      Optional.of(new ColdStart(Duration.ofSeconds(20), 8));

  private final ColdTracker tracker = new ColdTracker();

  private void report(Instant now, Optional<Duration> coldLeft) {
    tracker.onReport(
        new TargetReport("i-1", BORN.toEpochMilli(), 1, "bookings", "v1", 6, true, coldLeft), now);
  }

  private boolean isColdAt(Instant time) {
    return tracker.state().isCold(time);
  }

  @Test
  void neverHoldsWithoutSettings() {
    report(BORN, Optional.of(Duration.ofSeconds(9)));

    assertThat(tracker.state(), sameInstance(ColdState.UNLIMITED));
    assertThat(isColdAt(BORN), is(false));
  }

  @Test
  void followsTheReportAlsoAgainstThePeriodOfTheSettings() {
    tracker.setLimit(LIMIT);
    report(BORN.plusSeconds(2), Optional.of(Duration.ZERO));
    assertThat(isColdAt(BORN.plusSeconds(2)), is(false));

    report(BORN.plusSeconds(100), Optional.of(Duration.ofSeconds(3)));
    assertThat(isColdAt(BORN.plusSeconds(102)), is(true));
    assertThat(isColdAt(BORN.plusSeconds(103)), is(false));
  }

  @Test
  void followsThePeriodOfTheSettingsIfTheReportDoesNotSay() {
    tracker.setLimit(LIMIT);
    report(BORN.plusSeconds(18), Optional.empty());

    assertThat(isColdAt(BORN.plusMillis(19_999)), is(true));
    assertThat(isColdAt(BORN.plusSeconds(20)), is(false));
  }

  /** Guards against a clock that was set back, by which the target would stay cold for long. */
  @Test
  void takesStartInTheFutureForOneAtTheFirstReport() {
    tracker.setLimit(LIMIT);
    Instant now = BORN.minusSeconds(500);
    report(now, Optional.empty());
    report(now.plusSeconds(18), Optional.empty());

    assertThat(isColdAt(now.plusMillis(19_999)), is(true));
    assertThat(isColdAt(now.plusSeconds(20)), is(false));
  }

  @Test
  void isAssumedUntilTheFirstAndNextReport() {
    tracker.setLimit(LIMIT);
    assertThat(isColdAt(BORN), is(true));
    report(BORN, Optional.of(Duration.ZERO));
    assertThat(isColdAt(BORN), is(false));

    tracker.expectReport();
    assertThat(isColdAt(BORN), is(true));
    report(BORN, Optional.of(Duration.ZERO));
    assertThat(isColdAt(BORN), is(false));
  }

  @Test
  void isToldByTheHealthCheckOnlyBeforeTheFirstReport() {
    tracker.setLimit(LIMIT);
    tracker.onHealthAnswer(Duration.ofSeconds(2), BORN);
    assertThat(isColdAt(BORN.plusMillis(1999)), is(true));
    assertThat(isColdAt(BORN.plusSeconds(2)), is(false));

    tracker.expectReport();
    tracker.onHealthAnswer(Duration.ZERO, BORN);

    assertThat(isColdAt(BORN), is(true));
  }

  /** Guards against a target that has become cold while its reports were lost. */
  @Test
  void isAssumedOnceTheLastReportIsTooOld() {
    tracker.setLimit(LIMIT);
    report(BORN, Optional.of(Duration.ZERO));

    assertThat(isColdAt(BORN.plus(ColdTracker.REPORT_VALIDITY).minusNanos(1)), is(false));
    assertThat(isColdAt(BORN.plus(ColdTracker.REPORT_VALIDITY)), is(true));
  }
}
