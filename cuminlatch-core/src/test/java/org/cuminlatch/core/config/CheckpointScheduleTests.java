package org.cuminlatch.core.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import org.cuminlatch.core.config.CheckpointSchedule.Action;
import org.cuminlatch.core.config.CheckpointSchedule.RetainedOffsets;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("The schedule of checkpoints")
class CheckpointScheduleTests {

  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");
  private static final Duration STAND_BY = Duration.ofSeconds(15);
  private static final RetainedOffsets ALL = new RetainedOffsets(0, 1_000);

  private final CheckpointSchedule schedule =
      new CheckpointSchedule(new CheckpointPolicy(100, Duration.ofHours(1), STAND_BY), START);

  @Test
  void waitsWhileFewRecordsHaveCome() {
    assertThat(schedule.next(99, 0, ALL, START), is(Action.WAIT));
  }

  @Test
  void looksBeforeTheFirstInRankWrites() {
    assertThat(schedule.next(100, 0, ALL, START), is(Action.LOOK));
    schedule.onLooked(0, Duration.ZERO, START);
    assertThat(schedule.next(100, 0, ALL, START), is(Action.WRITE));
    schedule.onCheckpoint(100, START);
    assertThat(schedule.next(101, 0, ALL, START), is(Action.WAIT));
  }

  @Test
  void writesNothingIfAnotherHasWrittenMeanwhile() {
    schedule.next(100, 0, ALL, START);
    schedule.onLooked(98, Duration.ZERO, START);
    assertThat(schedule.next(100, 0, ALL, START), is(Action.WAIT));
  }

  @Test
  void renewsTheCheckpointByAgeEvenWithoutNewRecords() {
    schedule.onCheckpoint(100, START);
    Instant nearlyOld = START.plus(Duration.ofMinutes(59));
    assertThat(schedule.next(100, 0, ALL, nearlyOld), is(Action.WAIT));
    assertThat(schedule.next(100, 0, ALL, START.plus(Duration.ofHours(1))), is(Action.LOOK));
  }

  @Test
  void runsAheadOfTheLogsRetention() {
    schedule.onCheckpoint(50, START);
    RetainedOffsets early = new RetainedOffsets(0, 60);
    RetainedOffsets late = new RetainedOffsets(47, 60);
    assertThat(schedule.next(60, 0, early, START), is(Action.WAIT));
    assertThat(schedule.next(60, 0, late, START), is(Action.LOOK));
  }

  @Test
  void writesNothingBeforeAnyRecord() {
    assertThat(
        schedule.next(0, 0, new RetainedOffsets(0, 0), START.plus(Duration.ofDays(1))),
        is(Action.WAIT));
  }

  @Test
  void writesNothingOlderThanWhatStandsOnTheStream() {
    schedule.onLooked(500, Duration.ofHours(2), START);
    assertThat(schedule.next(400, 0, ALL, START), is(Action.WAIT));
  }

  @Nested
  class OfStandBy {

    @Test
    void stepsInAfterItsDelayOnly() {
      schedule.next(100, 2, ALL, START);
      Instant beforeDelay = START.plus(STAND_BY.multipliedBy(2)).minusMillis(1);
      assertThat(schedule.next(100, 2, ALL, beforeDelay), is(Action.WAIT));
      assertThat(schedule.next(100, 2, ALL, START.plus(STAND_BY.multipliedBy(2))), is(Action.LOOK));
    }

    @Test
    void triesAgainLaterAfterFailure() {
      schedule.next(100, 0, ALL, START);
      schedule.onFailure(START);
      assertThat(schedule.next(100, 0, ALL, START.plusMillis(1)), is(Action.WAIT));
      assertThat(schedule.next(100, 0, ALL, START.plus(STAND_BY)), is(Action.LOOK));
    }
  }
}
