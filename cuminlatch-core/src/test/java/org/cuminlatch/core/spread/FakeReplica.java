package org.cuminlatch.core.spread;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.ConfigurationReplica;
import org.cuminlatch.core.config.LogRecord;
import org.cuminlatch.core.config.Snapshot;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;

/** Configuration replica whose state is a hash over the folded records. */
final class FakeReplica implements ConfigurationReplica {

  static final int MAX_RETAINED_RECORDS = 50;
  private static final String CHECKPOINT_PREFIX = "checkpoint ";

  private final List<LogRecord> retained = new ArrayList<>();
  private long version;
  private int hash;

  @Override
  public long version() {
    return version;
  }

  @Override
  public Snapshot snapshot() {
    return new Snapshot(version, String.format("%08x", hash), Map.of(), Map.of(), Map.of());
  }

  @Override
  public int fold(List<LogRecord> records) {
    int folded = 0;
    for (LogRecord logRecord : records) {
      if (logRecord.offset() == version) {
        version++;
        hash = hash * 31 + logRecord.content().hashCode();
        retained.add(logRecord);
        folded++;
      }
    }
    while (retained.size() > MAX_RETAINED_RECORDS) {
      retained.remove(0);
    }
    return folded;
  }

  /** Makes the state differ from that of other replicas at the same version, as a defect would. */
  void corrupt() {
    hash++;
  }

  @Override
  public List<LogRecord> recordsFrom(long offset, int maxBytes) {
    if (offset < oldestRetained()) {
      return List.of();
    }
    List<LogRecord> found = new ArrayList<>();
    int size = 0;
    for (LogRecord logRecord : retained) {
      size += logRecord.offset() >= offset ? logRecord.content().length() : 0;
      if (logRecord.offset() >= offset && (found.isEmpty() || size <= maxBytes)) {
        found.add(logRecord);
      }
    }
    return found;
  }

  @Override
  public long oldestRetained() {
    return retained.isEmpty() ? version : retained.get(0).offset();
  }

  @Override
  public Bytes checkpoint() {
    String text = CHECKPOINT_PREFIX + version + " " + hash;
    return Bytes.copyOf(text.getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public boolean restore(Bytes checkpoint) {
    String text = new String(checkpoint.toArray(), StandardCharsets.UTF_8);
    if (!text.matches(CHECKPOINT_PREFIX + "\\d+ -?\\d+")) {
      throw CuminlatchException.of(ErrorCode.INVALID_CHECKPOINT, Step.CHECKPOINT, "corrupt");
    }
    String[] parts = text.split(" ");
    long restored = Long.parseLong(parts[1]);
    if (restored <= version) {
      return false;
    }
    version = restored;
    hash = Integer.parseInt(parts[2]);
    retained.clear();
    return true;
  }
}
