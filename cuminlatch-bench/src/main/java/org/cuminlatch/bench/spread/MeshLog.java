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

/** Stand-in for the platform's log in virtual time; it stands in one region. */
final class MeshLog {

  /** Takes the answer to a read; a null batch means failure. */
  interface ReadAnswer {
    void answered(long firstOffset, long nextOffset, List<LogRecord> records);
  }

  private static final Duration WORK = Duration.ofMillis(3);
  private static final int READ_REQUEST_BYTES = 250;
  private static final int READ_ANSWER_BYTES = 300;
  private static final double BASE64_FACTOR = 4.0 / 3;

  private record Waiter(
      long id, Stream stream, long from, int max, Locality reader, ReadAnswer answer) {}

  private final VirtualTime time;
  private final Locality home;
  private final Map<Stream, List<Bytes>> streams = new EnumMap<>(Stream.class);
  private final List<Waiter> waiters = new ArrayList<>();
  private boolean regionsCut;
  private boolean outage;
  private long ids;
  private long reads;
  private long appends;
  private long bytes;
  private long linkBytes;

  MeshLog(VirtualTime time, Locality home) {
    this.time = time;
    this.home = home;
    for (Stream stream : Stream.values()) {
      streams.put(stream, new ArrayList<>());
    }
  }

  void cutRegions(boolean cut) {
    regionsCut = cut;
  }

  void outage(boolean down) {
    outage = down;
  }

  long append(Stream stream, Bytes content) {
    appends++;
    List<Bytes> records = streams.get(stream);
    records.add(content);
    List<Waiter> woken = waiters.stream().filter(w -> w.stream() == stream).toList();
    waiters.removeAll(woken);
    woken.forEach(this::answer);
    return records.size() - 1;
  }

  boolean reachable(Locality from) {
    boolean across = from.distanceTo(home) == Distance.OTHER_REGION;
    return !outage && !(across && regionsCut);
  }

  void read(
      Locality reader,
      Stream stream,
      long from,
      int max,
      Duration wait,
      ReadAnswer answer,
      Runnable failure) {
    reads++;
    count(reader, READ_REQUEST_BYTES);
    Duration way = MeshNetwork.latency(reader.distanceTo(home));
    if (!reachable(reader)) {
      time.after(Duration.ofSeconds(1), failure);
      return;
    }
    Waiter waiter = new Waiter(ids++, stream, from, max, reader, answer);
    time.after(way.plus(WORK), () -> arrived(waiter, wait));
  }

  private void arrived(Waiter waiter, Duration wait) {
    if (waiter.from() < streams.get(waiter.stream()).size() || wait.isZero()) {
      answer(waiter);
      return;
    }
    waiters.add(waiter);
    time.after(
        wait,
        () -> {
          if (waiters.remove(waiter)) {
            answer(waiter);
          }
        });
  }

  private void answer(Waiter waiter) {
    if (!reachable(waiter.reader())) {
      return;
    }
    List<Bytes> stream = streams.get(waiter.stream());
    List<LogRecord> found = new ArrayList<>();
    for (long i = waiter.from(); i < stream.size() && found.size() < waiter.max(); i++) {
      found.add(new LogRecord(i, stream.get((int) i)));
    }
    long next = stream.size();
    int size = found.stream().mapToInt(r -> r.content().length()).sum();
    count(waiter.reader(), READ_ANSWER_BYTES + (int) (size * BASE64_FACTOR));
    Duration way = MeshNetwork.latency(waiter.reader().distanceTo(home));
    time.after(way, () -> waiter.answer().answered(0, next, found));
  }

  private void count(Locality reader, int size) {
    bytes += size;
    if (reader.distanceTo(home) == Distance.OTHER_REGION) {
      linkBytes += size;
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

  long linkBytes() {
    return linkBytes;
  }

  void resetCounters() {
    reads = 0;
    appends = 0;
    bytes = 0;
    linkBytes = 0;
  }
}
