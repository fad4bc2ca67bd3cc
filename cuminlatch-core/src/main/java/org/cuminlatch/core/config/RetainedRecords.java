package org.cuminlatch.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** The last records folded, kept for peers that have read less; bounded in count and bytes. */
final class RetainedRecords {

  /** Most records kept. */
  static final int MAX_RECORDS = 4_096;

  /** Most bytes of content kept. */
  static final int MAX_BYTES = 4 * 1024 * 1024;

  private final TreeMap<Long, LogRecord> records = new TreeMap<>();
  private long bytes;

  void add(LogRecord record) {
    records.put(record.offset(), record);
    bytes += record.content().length();
    while (records.size() > 1 && (records.size() > MAX_RECORDS || bytes > MAX_BYTES)) {
      bytes -= records.pollFirstEntry().getValue().content().length();
    }
  }

  void clear() {
    records.clear();
    bytes = 0;
  }

  long oldest(long otherwise) {
    return records.isEmpty() ? otherwise : records.firstKey();
  }

  List<LogRecord> from(long offset, int maxBytes) {
    List<LogRecord> chosen = new ArrayList<>();
    if (!records.containsKey(offset)) {
      return chosen;
    }
    int size = 0;
    for (LogRecord record : records.tailMap(offset).values()) {
      size += record.content().length();
      if (!chosen.isEmpty() && size > maxBytes) {
        break;
      }
      chosen.add(record);
    }
    return chosen;
  }
}
