package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import org.cuminlatch.core.config.CallerLimits;
import org.cuminlatch.core.config.ColdStart;
import org.cuminlatch.core.config.ServiceSettings;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.target.ColdState;
import org.cuminlatch.core.target.TargetReport;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.wire.proto.call.TargetStatus;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against messages to all nodes that tell them nothing new, and against missing ones. */
@DisplayName("What other nodes are told of a cold target")
class ColdTargetControlTests implements ColdTargetControl.Listener {

  private static final Duration TICK = Duration.ofMillis(150);
  private static final Duration REPORT_PERIOD = Duration.ofMillis(1500);

  private final Instant start = Instant.ofEpochSecond(1000);
  private Instant now = start;
  private Instant nextReportAt = start;
  private long sequence;
  private int told;
  private ColdState state = ColdState.UNLIMITED;
  private final ColdTargetControl control =
      new ColdTargetControl(
          "bookings", () -> now, EventLog.start(InstantSource.system(), "node"), this);

  @Override
  public void onStateChange(ColdState newState) {
    state = newState;
  }

  @Override
  public void onStatusChange() {
    // only nodes that connect get it
  }

  @Override
  public void tellAll() {
    told++;
  }

  @BeforeEach
  void configure() {
    ServiceSettings settings =
        new ServiceSettings(
            Optional.empty(), Optional.of(new ColdStart(Duration.ofSeconds(20), 8)));
    control.onConfiguration(
        new Snapshot(
            7,
            "",
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of(),
            CallerLimits.DEFAULT,
            Map.of(),
            Map.of("bookings", settings)));
  }

  private void report(double coldLeftSeconds) {
    control.onReport(
        new TargetReport(
            "i-1",
            start.toEpochMilli(),
            ++sequence,
            "bookings",
            "v1",
            6,
            true,
            Optional.of(Duration.ofMillis((long) (coldLeftSeconds * 1000)))));
  }

  /** Lets time pass, with reports of a target that is cold until the given time. */
  private void runFor(Duration time, Instant coldUntil) {
    Instant end = now.plus(time);
    while (now.isBefore(end)) {
      if (!now.isBefore(nextReportAt)) {
        report(Math.max(0, Duration.between(now, coldUntil).toMillis() / 1000.0));
        nextReportAt = now.plus(REPORT_PERIOD);
      }
      control.tick();
      now = now.plus(TICK);
    }
  }

  private TargetStatus status() {
    TargetStatus.Builder status = TargetStatus.newBuilder();
    control.describe(status);
    return status.build();
  }

  @Test
  void isTheStartOfTheColdPeriodAndNotItsEnd() {
    assertThat(told, is(0));
    runFor(Duration.ofSeconds(10), start.plusSeconds(20));
    assertThat(told, is(1));
    assertThat(status().getColdPerSecond(), is(8.0));
    assertThat(status().getColdMicros() / 1e6, is(closeTo(10, 2)));

    runFor(Duration.ofSeconds(30), start.plusSeconds(20));

    assertThat(told, is(1));
    assertThat(status().getColdPerSecond(), is(0.0));
    assertThat(state.isCold(now), is(false));
  }

  @Test
  void isThatItIsColdAgain() {
    runFor(Duration.ofSeconds(10), start);
    told = 0;

    runFor(Duration.ofSeconds(2), now.plusSeconds(5));

    assertThat(told, is(1));
    assertThat(state.isCold(now), is(true));
  }

  @Test
  void isThatItIsWarmEarlierThanExpected() {
    runFor(Duration.ofSeconds(3), start.plusSeconds(20));
    told = 0;

    runFor(Duration.ofSeconds(2), start);

    assertThat(told, is(1));
    assertThat(status().getColdPerSecond(), is(0.0));
  }

  @Test
  void isRepeatedOnceInMinuteWhileReportsAreMissing() {
    runFor(Duration.ofSeconds(10), start);
    nextReportAt = Instant.MAX;
    now = now.plusSeconds(10);
    told = 0;

    control.tick();
    assertThat(told, is(1));
    control.tick();
    assertThat(told, is(1));

    now = now.plusSeconds(61);
    control.tick();
    assertThat(told, is(2));

    control.onLeave();
    now = now.plusSeconds(61);
    control.tick();
    assertThat(told, is(2));
  }
}
