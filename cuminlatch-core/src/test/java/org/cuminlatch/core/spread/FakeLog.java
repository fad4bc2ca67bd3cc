package org.cuminlatch.core.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.LogRecord;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.membership.VirtualNetwork;
import org.cuminlatch.core.spread.LogRequests.Stream;

/** Log in virtual time with outages, retention and lost answers of appends. */
final class FakeLog {

  private static final Duration DELAY = Duration.ofMillis(5);
  private static final Duration POLL = Duration.ofMillis(50);

  private final VirtualNetwork network;
  private final Map<Stream, List<LogRecord>> streams = new EnumMap<>(Stream.class);
  private final Map<Stream, Long> ends = new EnumMap<>(Stream.class);
  private boolean outage;
  private boolean answersOfAppendsLost;
  private int reads;

  FakeLog(VirtualNetwork network) {
    this.network = network;
    for (Stream stream : Stream.values()) {
      streams.put(stream, new ArrayList<>());
      ends.put(stream, 0L);
    }
  }

  void outage(boolean down) {
    outage = down;
  }

  void loseAnswersOfAppends(boolean lost) {
    answersOfAppendsLost = lost;
  }

  long append(Stream stream, Bytes content) {
    long offset = ends.merge(stream, 1L, Long::sum) - 1;
    streams.get(stream).add(new LogRecord(offset, content));
    return offset;
  }

  /** Lets the offsets of a stream jump, as a faulty log would. */
  void jump(Stream stream, long by) {
    ends.merge(stream, by, Long::sum);
  }

  void retain(Stream stream, int newest) {
    List<LogRecord> records = streams.get(stream);
    records.subList(0, Math.max(0, records.size() - newest)).clear();
  }

  List<LogRecord> records(Stream stream) {
    return List.copyOf(streams.get(stream));
  }

  long end(Stream stream) {
    return ends.get(stream);
  }

  int reads() {
    return reads;
  }

  void resetReads() {
    reads = 0;
  }

  /** Requests of one node; reachable says whether its network lets it through. */
  LogRequests requestsOf(Client client) {
    return new LogRequests() {
      @Override
      public void read(Stream stream, long from, int maxRecords, Duration wait) {
        reads++;
        network.after(DELAY, () -> serve(client, stream, from, maxRecords, wait));
      }

      @Override
      public void append(Stream stream, Bytes content) {
        network.after(DELAY, () -> take(client, stream, content));
      }
    };
  }

  private void serve(Client client, Stream stream, long from, int max, Duration wait) {
    if (outage || !client.reachable()) {
      client.onFailure(stream, ErrorCode.LOG_UNAVAILABLE, false);
      return;
    }
    long end = ends.get(stream);
    List<LogRecord> kept = streams.get(stream);
    long first = kept.isEmpty() ? end : kept.get(0).offset();
    if (from < first) {
      client.onFailure(stream, ErrorCode.LOG_TRUNCATED, false);
    } else if (from < end || wait.isZero() || wait.isNegative()) {
      List<LogRecord> found = kept.stream().filter(r -> r.offset() >= from).limit(max).toList();
      client.onBatch(stream, first, end, found);
    } else {
      network.after(POLL, () -> serve(client, stream, from, max, wait.minus(POLL)));
    }
  }

  private void take(Client client, Stream stream, Bytes content) {
    if (outage || !client.reachable()) {
      client.onFailure(stream, ErrorCode.LOG_UNAVAILABLE, true);
      return;
    }
    long offset = append(stream, content);
    if (answersOfAppendsLost) {
      client.onFailure(stream, ErrorCode.LOG_UNAVAILABLE, true);
    } else {
      client.onAppended(stream, offset);
    }
  }

  /** A node as the log sees it. */
  interface Client {
    boolean reachable();

    void onBatch(Stream stream, long first, long next, List<LogRecord> records);

    void onFailure(Stream stream, ErrorCode code, boolean append);

    void onAppended(Stream stream, long offset);
  }
}
