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
 * Decides when rows are sent to one receiver, and which.
 *
 * <p>News, that is calls to the new version, failures of the old one or another state, go out at
 * the short interval with all rows that have changed; else everything goes out whole at the long
 * one, which also mends lost messages.
 */
final class ReportScheduler {

  private final Map<RowKey, Counts> sent = new HashMap<>();
  private Instant sentAt = Instant.MIN;
  private Instant wholeAt = Instant.MIN;
  private Object sentState = "";

  /** What to send: nothing if not due. */
  record Due(boolean due, List<EvidenceRow> rows) {}

  Due next(
      Supplier<List<EvidenceRow>> rows,
      Object state,
      Duration newsInterval,
      Duration quietInterval,
      Instant now) {
    if (isPast(wholeAt, quietInterval, now)) {
      wholeAt = now;
      return send(rows.get(), state, now);
    }
    if (!isPast(sentAt, newsInterval, now)) {
      return new Due(false, List.of());
    }
    List<EvidenceRow> changed = new ArrayList<>();
    boolean news = !state.equals(sentState);
    for (EvidenceRow row : rows.get()) {
      Counts before = sent.getOrDefault(RowKey.of(row), Counts.NONE);
      if (!row.counts().equals(before)) {
        changed.add(row);
        news = news || isNews(row, before);
      }
    }
    return news ? send(changed, state, now) : new Due(false, List.of());
  }

  private static boolean isNews(EvidenceRow row, Counts before) {
    return row.side() == Side.NEW || row.counts().failures() != before.failures();
  }

  private static boolean isPast(Instant last, Duration interval, Instant now) {
    return last.equals(Instant.MIN) || !now.isBefore(last.plus(interval));
  }

  private Due send(List<EvidenceRow> rows, Object state, Instant now) {
    rows.forEach(row -> sent.put(RowKey.of(row), row.counts()));
    sentState = state;
    sentAt = now;
    return new Due(true, rows);
  }

  private record RowKey(String route, Side side) {

    static RowKey of(EvidenceRow row) {
      return new RowKey(row.route(), row.side());
    }
  }
}
