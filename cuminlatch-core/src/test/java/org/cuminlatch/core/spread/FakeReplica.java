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

/** Replica whose state is a hash over the records folded. */
final class FakeReplica implements ConfigurationReplica {

  static final int RETAINED = 50;
  private static final String PREFIX = "checkpoint ";

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
    for (LogRecord logged : records) {
      if (logged.offset() == version) {
        version++;
        hash = hash * 31 + logged.content().hashCode();
        retained.add(logged);
        folded++;
      }
    }
    while (retained.size() > RETAINED) {
      retained.remove(0);
    }
    return folded;
  }

  /** Brings the state apart from that of the others, as a defect would. */
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
    for (LogRecord logged : retained) {
      size += logged.offset() >= offset ? logged.content().length() : 0;
      if (logged.offset() >= offset && (found.isEmpty() || size <= maxBytes)) {
        found.add(logged);
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
    String text = PREFIX + version + " " + hash;
    return Bytes.copyOf(text.getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public boolean restore(Bytes checkpoint) {
    String text = new String(checkpoint.toArray(), StandardCharsets.UTF_8);
    if (!text.matches(PREFIX + "\\d+ -?\\d+")) {
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
