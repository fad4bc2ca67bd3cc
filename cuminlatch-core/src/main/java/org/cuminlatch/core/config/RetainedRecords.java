package org.cuminlatch.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** Most recently folded records, kept for peers that are behind; bounded in number and bytes. */
final class RetainedRecords {

  /** Maximum number of records kept. */
  static final int MAX_RECORDS = 4_096;

  /** Maximum number of content bytes kept. */
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

  long oldest(long defaultOffset) {
    return records.isEmpty() ? defaultOffset : records.firstKey();
  }

  List<LogRecord> from(long offset, int maxBytes) {
    List<LogRecord> result = new ArrayList<>();
    if (!records.containsKey(offset)) {
      return result;
    }
    int size = 0;
    for (LogRecord record : records.tailMap(offset).values()) {
      size += record.content().length();
      if (!result.isEmpty() && size > maxBytes) {
        break;
      }
      result.add(record);
    }
    return result;
  }
}
