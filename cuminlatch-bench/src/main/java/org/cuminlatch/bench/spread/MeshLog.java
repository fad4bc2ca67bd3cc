package org.cuminlatch.bench.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.LogRecord;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Locality.Distance;
import org.cuminlatch.core.spread.LogRequests.Stream;

/** Simulation of the platform's log in virtual time; it is located in one region. */
final class MeshLog {

  /** Receives the result of a successful read. */
  interface ReadCallback {
    void onRecords(long firstOffset, long nextOffset, List<LogRecord> records);
  }

  private static final Duration PROCESSING_DELAY = Duration.ofMillis(3);
  private static final int READ_REQUEST_BYTES = 250;
  private static final int READ_RESPONSE_BYTES = 300;
  private static final double BASE64_SIZE_FACTOR = 4.0 / 3;

  private record PendingRead(
      long id, Stream stream, long from, int max, Locality readerLocality, ReadCallback callback) {}

  private final VirtualTime time;
  private final Locality logLocality;
  private final Map<Stream, List<Bytes>> streams = new EnumMap<>(Stream.class);
  private final List<PendingRead> pendingReads = new ArrayList<>();
  private boolean regionsPartitioned;
  private boolean unavailable;
  private long nextReadId;
  private long reads;
  private long appends;
  private long bytes;
  private long crossRegionBytes;

  MeshLog(VirtualTime time, Locality logLocality) {
    this.time = time;
    this.logLocality = logLocality;
    for (Stream stream : Stream.values()) {
      streams.put(stream, new ArrayList<>());
    }
  }

  void setPartitioned(boolean partitioned) {
    regionsPartitioned = partitioned;
  }

  void setUnavailable(boolean down) {
    unavailable = down;
  }

  long append(Stream stream, Bytes content) {
    appends++;
    List<Bytes> records = streams.get(stream);
    records.add(content);
    List<PendingRead> dueReads =
        pendingReads.stream().filter(read -> read.stream() == stream).toList();
    pendingReads.removeAll(dueReads);
    dueReads.forEach(this::answer);
    return records.size() - 1;
  }

  boolean isReachable(Locality from) {
    boolean crossesRegions = from.distanceTo(logLocality) == Distance.OTHER_REGION;
    return !unavailable && !(crossesRegions && regionsPartitioned);
  }

  void read(
      Locality readerLocality,
      Stream stream,
      long from,
      int max,
      Duration maxWait,
      ReadCallback callback,
      Runnable onFailure) {
    reads++;
    countBytes(readerLocality, READ_REQUEST_BYTES);
    Duration oneWayLatency = MeshNetwork.latency(readerLocality.distanceTo(logLocality));
    if (!isReachable(readerLocality)) {
      time.after(Duration.ofSeconds(1), onFailure);
      return;
    }
    PendingRead pendingRead =
        new PendingRead(nextReadId++, stream, from, max, readerLocality, callback);
    time.after(oneWayLatency.plus(PROCESSING_DELAY), () -> onReadArrived(pendingRead, maxWait));
  }

  private void onReadArrived(PendingRead pendingRead, Duration maxWait) {
    if (pendingRead.from() < streams.get(pendingRead.stream()).size() || maxWait.isZero()) {
      answer(pendingRead);
      return;
    }
    pendingReads.add(pendingRead);
    time.after(
        maxWait,
        () -> {
          if (pendingReads.remove(pendingRead)) {
            answer(pendingRead);
          }
        });
  }

  private void answer(PendingRead pendingRead) {
    if (!isReachable(pendingRead.readerLocality())) {
      return;
    }
    List<Bytes> stream = streams.get(pendingRead.stream());
    List<LogRecord> batch = new ArrayList<>();
    for (long i = pendingRead.from(); i < stream.size() && batch.size() < pendingRead.max(); i++) {
      batch.add(new LogRecord(i, stream.get((int) i)));
    }
    long next = stream.size();
    int size = batch.stream().mapToInt(r -> r.content().length()).sum();
    countBytes(
        pendingRead.readerLocality(), READ_RESPONSE_BYTES + (int) (size * BASE64_SIZE_FACTOR));
    Duration oneWayLatency =
        MeshNetwork.latency(pendingRead.readerLocality().distanceTo(logLocality));
    time.after(oneWayLatency, () -> pendingRead.callback().onRecords(0, next, batch));
  }

  private void countBytes(Locality readerLocality, int size) {
    bytes += size;
    if (readerLocality.distanceTo(logLocality) == Distance.OTHER_REGION) {
      crossRegionBytes += size;
    }
  }

  long size(Stream stream) {
    return streams.get(stream).size();
  }

  long reads() {
    return reads;
  }

  long appends() {
    return appends;
  }

  long bytes() {
    return bytes;
  }

  long crossRegionBytes() {
    return crossRegionBytes;
  }

  void resetCounters() {
    reads = 0;
    appends = 0;
    bytes = 0;
    crossRegionBytes = 0;
  }
}
