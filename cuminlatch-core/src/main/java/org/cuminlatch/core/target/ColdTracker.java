package org.cuminlatch.core.target;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.cuminlatch.core.config.ColdStart;

/**
 * Derives from the reports of the local target whether it is cold.
 *
 * <p>A target may become cold at any time, which only its next report tells. It therefore counts as
 * cold while its last report is too old or was received before an event after which the target may
 * be cold. Not thread-safe.
 */
public final class ColdTracker {

  /**
   * Time for which a report is relied on. Targets report every 1.5 s, so that two reports may be
   * missed and the node may lag by a second.
   */
  public static final Duration REPORT_VALIDITY = Duration.ofSeconds(4);

  private Optional<ColdStart> limit = Optional.empty();
  private long bornMillis;
  private Instant startedAt = Instant.MIN;
  private boolean reported;
  private Optional<Duration> reportedLeft = Optional.empty();
  private Optional<Instant> reportedAt = Optional.empty();

  /**
   * Sets the limit of the target's service.
   *
   * @param newLimit the limit; empty if the configuration in force has none
   */
  public void setLimit(Optional<ColdStart> newLimit) {
    limit = notNull(newLimit, "newLimit");
  }

  /**
   * Applies a report of the target.
   *
   * @param report the report
   * @param now current time
   */
  public void onReport(TargetReport report, Instant now) {
    if (report.bornMillis() != bornMillis || startedAt.equals(Instant.MIN)) {
      // a target without a reported start, or with one in the future, has started by now
      Instant reportedStart = Instant.ofEpochMilli(report.bornMillis());
      boolean usable = report.bornMillis() != 0 && reportedStart.isBefore(now);
      startedAt = usable ? reportedStart : now;
      bornMillis = report.bornMillis();
    }
    reported = true;
    reportedLeft = report.coldLeft();
    reportedAt = Optional.of(now);
  }

  /**
   * Applies what the target has answered to a health check of this process, unless it has reported
   * meanwhile.
   *
   * @param coldLeft remaining time for which the target is cold
   * @param now current time
   */
  public void onHealthAnswer(Duration coldLeft, Instant now) {
    if (!reported) {
      reported = true;
      reportedLeft = Optional.of(coldLeft);
      reportedAt = Optional.of(now);
    }
  }

  /** Counts the target as cold until its next report, as it may have become cold meanwhile. */
  public void expectReport() {
    reported = true;
    reportedAt = Optional.empty();
  }

  /**
   * Returns the state of the target.
   *
   * @return the state, which holds until the next change
   */
  public ColdState state() {
    return limit.map(this::limitedState).orElse(ColdState.UNLIMITED);
  }

  private ColdState limitedState(ColdStart coldStart) {
    if (reportedAt.isEmpty()) {
      return new ColdState(coldStart.perSecond(), Instant.MIN, Instant.MIN);
    }
    Instant coldUntil =
        reportedLeft
            .map(reportedAt.get()::plus)
            .orElseGet(() -> startedAt.plus(coldStart.period()));
    return new ColdState(coldStart.perSecond(), coldUntil, reportedAt.get().plus(REPORT_VALIDITY));
  }
}
