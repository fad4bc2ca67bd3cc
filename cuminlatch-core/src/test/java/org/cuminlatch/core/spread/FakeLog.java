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

/** In-memory log in virtual time that simulates outages, retention and lost answers to appends. */
final class FakeLog {

  private static final Duration ANSWER_DELAY = Duration.ofMillis(5);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

  private final VirtualNetwork network;
  private final Map<Stream, List<LogRecord>> streams = new EnumMap<>(Stream.class);
  private final Map<Stream, Long> nextOffsets = new EnumMap<>(Stream.class);
  private boolean outage;
  private boolean appendAnswersLost;
  private int reads;

  FakeLog(VirtualNetwork network) {
    this.network = network;
    for (Stream stream : Stream.values()) {
      streams.put(stream, new ArrayList<>());
      nextOffsets.put(stream, 0L);
    }
  }

  void setOutage(boolean unavailable) {
    outage = unavailable;
  }

  void loseAppendAnswers(boolean lost) {
    appendAnswersLost = lost;
  }

  long append(Stream stream, Bytes content) {
    long offset = nextOffsets.merge(stream, 1L, Long::sum) - 1;
    streams.get(stream).add(new LogRecord(offset, content));
    return offset;
  }

  /** Skips offsets of a stream, as a faulty log would. */
  void skipOffsets(Stream stream, long count) {
    nextOffsets.merge(stream, count, Long::sum);
  }

  /** Retains only the newest records of a stream. */
  void retain(Stream stream, int maxRecords) {
    List<LogRecord> records = streams.get(stream);
    records.subList(0, Math.max(0, records.size() - maxRecords)).clear();
  }

  List<LogRecord> records(Stream stream) {
    return List.copyOf(streams.get(stream));
  }

  /** Returns the offset that the next record of a stream will get. */
  long nextOffset(Stream stream) {
    return nextOffsets.get(stream);
  }

  int reads() {
    return reads;
  }

  void resetReads() {
    reads = 0;
  }

  /** Returns the requests of a client. */
  LogRequests requestsOf(Client client) {
    return new LogRequests() {
      @Override
      public void read(Stream stream, long from, int maxRecords, Duration remainingWait) {
        reads++;
        network.after(
            ANSWER_DELAY, () -> serveRead(client, stream, from, maxRecords, remainingWait));
      }

      @Override
      public void append(Stream stream, Bytes content) {
        network.after(ANSWER_DELAY, () -> serveAppend(client, stream, content));
      }
    };
  }

  private void serveRead(
      Client client, Stream stream, long from, int maxRecords, Duration remainingWait) {
    if (outage || !client.reachable()) {
      client.onFailure(stream, ErrorCode.LOG_UNAVAILABLE, false);
      return;
    }
    long nextOffset = nextOffsets.get(stream);
    List<LogRecord> retained = streams.get(stream);
    long firstOffset = retained.isEmpty() ? nextOffset : retained.get(0).offset();
    if (from < firstOffset) {
      client.onFailure(stream, ErrorCode.LOG_TRUNCATED, false);
    } else if (from < nextOffset || remainingWait.isZero() || remainingWait.isNegative()) {
      List<LogRecord> found =
          retained.stream().filter(r -> r.offset() >= from).limit(maxRecords).toList();
      client.onBatch(stream, firstOffset, nextOffset, found);
    } else {
      network.after(
          POLL_INTERVAL,
          () -> serveRead(client, stream, from, maxRecords, remainingWait.minus(POLL_INTERVAL)));
    }
  }

  private void serveAppend(Client client, Stream stream, Bytes content) {
    if (outage || !client.reachable()) {
      client.onFailure(stream, ErrorCode.LOG_UNAVAILABLE, true);
      return;
    }
    long offset = append(stream, content);
    if (appendAnswersLost) {
      client.onFailure(stream, ErrorCode.LOG_UNAVAILABLE, true);
    } else {
      client.onAppended(stream, offset);
    }
  }

  /** Client of the log: a node that receives the answers to its requests. */
  interface Client {
    /** Returns whether the network connects the client to the log. */
    boolean reachable();

    void onBatch(Stream stream, long firstOffset, long nextOffset, List<LogRecord> records);

    void onFailure(Stream stream, ErrorCode code, boolean append);

    void onAppended(Stream stream, long offset);
  }
}
