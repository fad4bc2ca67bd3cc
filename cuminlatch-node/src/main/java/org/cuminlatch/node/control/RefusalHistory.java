package org.cuminlatch.node.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cuminlatch.core.config.FoldEvent;

/** Keeps the most recently refused records for the operator pages; safe to read from any thread. */
public final class RefusalHistory {

  private static final Logger LOG = LogManager.getLogger(RefusalHistory.class);
  private static final int MAX_ENTRIES = 100;

  private final Deque<Entry> entries = new ArrayDeque<>();

  RefusalHistory() {}

  /**
   * A refused record.
   *
   * @param offset offset of the record in the log
   * @param recordId id of the record, empty if it could not be decoded
   * @param reason reason for the refusal
   */
  public record Entry(long offset, String recordId, String reason) {}

  synchronized List<Entry> entries() {
    return List.copyOf(entries);
  }

  void onFoldEvent(FoldEvent event) {
    if (event instanceof FoldEvent.Decided decided && !decided.isAccepted()) {
      String reason = decided.refusal().orElseThrow().toString();
      add(new Entry(decided.offset(), decided.recordId().orElse(""), reason));
      LOG.warn("refused the record at offset {}: {}", decided.offset(), reason);
    } else if (!(event instanceof FoldEvent.Decided)) {
      LOG.warn("{}", event);
    }
  }

  private synchronized void add(Entry entry) {
    entries.addLast(entry);
    if (entries.size() > MAX_ENTRIES) {
      entries.removeFirst();
    }
  }
}
