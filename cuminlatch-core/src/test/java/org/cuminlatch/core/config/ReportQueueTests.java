package org.cuminlatch.core.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.cuminlatch.core.config.ReportQueue.Action;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("The report queue")
class ReportQueueTests {

  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");
  private static final Duration STAND_BY_DELAY = Duration.ofSeconds(10);

  private final ReportQueue queue =
      new ReportQueue(
          new ReportPolicy(Duration.ofSeconds(1), 2, 3, STAND_BY_DELAY, 1, Duration.ofSeconds(15)));

  @Test
  void letsFirstRankAppendImmediately() {
    queue.add(report("a"));
    assertThat(queue.next(0, START), is(Action.APPEND));
    assertThat(ids(queue.batch(START)), contains("a"));
  }

  @Test
  void ignoresReportWithKnownId() {
    queue.add(report("a"));
    queue.add(report("a"));
    assertThat(queue.batch(START), hasSize(1));
    queue.onAppended(queue.batch(START), START);
    queue.add(report("a"));
    assertThat(queue.pending(), is(0));
  }

  @Test
  void limitsRateAndSizeOfAppends() {
    queue.add(report("a"));
    queue.add(report("b"));
    queue.add(report("c"));
    List<Report> batch = queue.batch(START);
    assertThat(ids(batch), contains("a", "b"));
    queue.onAppended(batch, START);
    assertThat(queue.next(0, START.plusMillis(999)), is(Action.WAIT));
    assertThat(queue.next(0, START.plusSeconds(1)), is(Action.APPEND));
    assertThat(ids(queue.batch(START)), contains("c"));
  }

  @Test
  void reportsNumberOfDroppedReports() {
    for (String id : new String[] {"a", "b", "c", "d", "e"}) {
      queue.add(report(id));
    }
    List<Report> batch = queue.batch(START);
    assertThat(batch.get(2).kind(), is(Report.Kind.DROPPED));
    assertThat(batch.get(2).text(), is("2 reports were dropped because too many waited"));
    queue.onAppended(batch, START);
    assertThat(queue.batch(START), hasSize(1));
  }

  @Test
  void keepsReportsAfterFailedAppend() {
    queue.add(report("a"));
    queue.onFailure(START);
    assertThat(queue.next(0, START.plusSeconds(1)), is(Action.WAIT));
    assertThat(queue.next(0, START.plus(STAND_BY_DELAY)), is(Action.APPEND));
  }

  @Nested
  class ForStandBy {

    @Test
    void checksStreamAfterDelayAndAppendsOnlyMissingReports() {
      queue.add(report("a"));
      queue.add(report("b"));
      assertThat(queue.next(1, START.plus(STAND_BY_DELAY).minusMillis(1)), is(Action.WAIT));
      Instant later = START.plus(STAND_BY_DELAY);
      assertThat(queue.next(1, later), is(Action.CHECK_STREAM));
      queue.onFoundOnStream(List.of("a"));
      assertThat(queue.next(1, later), is(Action.APPEND));
      assertThat(ids(queue.batch(later)), contains("b"));
    }

    @Test
    void appendsNothingIfAllReportsAreOnStream() {
      queue.add(report("a"));
      queue.onFoundOnStream(List.of("a"));
      assertThat(queue.next(1, START.plus(STAND_BY_DELAY)), is(Action.WAIT));
    }

    @Test
    void removesOldReportsBeyondMaxRank() {
      queue.add(report("a"));
      assertThat(queue.next(2, START.plus(STAND_BY_DELAY)), is(Action.WAIT));
      assertThat(queue.pending(), is(1));
      queue.next(2, START.plus(STAND_BY_DELAY.multipliedBy(2)).plusMillis(1));
      assertThat(queue.pending(), is(0));
    }
  }

  private static List<String> ids(List<Report> reports) {
    return reports.stream().map(Report::id).toList();
  }

  private static Report report(String id) {
    return new Report(id, Report.Kind.ACCEPTED, 1, "route/r", "text", START);
  }

  @Test
  void isInitiallyEmpty() {
    assertThat(queue.next(0, START), is(Action.WAIT));
    assertThat(queue.batch(START), equalTo(List.of()));
  }
}
