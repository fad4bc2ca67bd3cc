package org.cuminlatch.core.move;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.cuminlatch.core.move.EvidenceRow.Side;

/**
 * Decides when evidence is reported to one receiver, and with which rows.
 *
 * <p>After a call to the new version, a failure of the old one or a change of state, all changed
 * rows are reported at the short interval. All rows are reported at the long interval, which also
 * makes up for lost messages.
 */
final class ReportScheduler {

  private final Map<RowKey, CallCounts> sentCounts = new HashMap<>();
  private Instant lastReportAt = Instant.MIN;
  private Instant fullReportAt = Instant.MIN;
  private Object lastSentState = "";

  /** Whether a report is due and the rows to send with it; no rows if it is not due. */
  record Decision(boolean isDue, List<EvidenceRow> rows) {}

  Decision next(
      Supplier<List<EvidenceRow>> rows,
      Object state,
      Duration changeReportInterval,
      Duration fullReportInterval,
      Instant now) {
    if (hasElapsed(fullReportAt, fullReportInterval, now)) {
      fullReportAt = now;
      return recordSent(rows.get(), state, now);
    }
    if (!hasElapsed(lastReportAt, changeReportInterval, now)) {
      return new Decision(false, List.of());
    }
    List<EvidenceRow> changed = new ArrayList<>();
    boolean hasNews = !state.equals(lastSentState);
    for (EvidenceRow row : rows.get()) {
      CallCounts sentBefore = sentCounts.getOrDefault(RowKey.of(row), CallCounts.NONE);
      if (!row.counts().equals(sentBefore)) {
        changed.add(row);
        hasNews = hasNews || isNews(row, sentBefore);
      }
    }
    return hasNews ? recordSent(changed, state, now) : new Decision(false, List.of());
  }

  private static boolean isNews(EvidenceRow row, CallCounts sentBefore) {
    return row.side() == Side.NEW || row.counts().failures() != sentBefore.failures();
  }

  private static boolean hasElapsed(Instant last, Duration interval, Instant now) {
    return last.equals(Instant.MIN) || !now.isBefore(last.plus(interval));
  }

  private Decision recordSent(List<EvidenceRow> rows, Object state, Instant now) {
    rows.forEach(row -> sentCounts.put(RowKey.of(row), row.counts()));
    lastSentState = state;
    lastReportAt = now;
    return new Decision(true, rows);
  }

  private record RowKey(String route, Side side) {

    static RowKey of(EvidenceRow row) {
      return new RowKey(row.route(), row.side());
    }
  }
}
