package org.cuminlatch.bench.spread;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.config.LogRecord;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.spread.LogRequests.Stream;

/** Baseline: every node reads the log by itself with long polls. */
final class LogPollingBaseline {

  private static final Duration LONG_POLL = Duration.ofSeconds(20);
  private static final Duration CHANGE_INTERVAL = Duration.ofSeconds(86);
  private static final int MAX_RECORDS = 256;
  private static final int CHANGES = 3;
  private static final int RECORD_BYTES = 60;
  private static final double NANOS_PER_SECOND = 1e9;

  private final VirtualTime time = new VirtualTime();
  private final MeshLog log = new MeshLog(time, Mesh.ZONES.get(0));
  private final List<Duration> delays = new ArrayList<>();
  private final int size;
  private final SplittableRandom random;
  private Instant publishedAt;

  LogPollingBaseline(int size, long seed) {
    this.size = size;
    this.random = new SplittableRandom(seed);
  }

  List<String> run() {
    for (int i = 0; i < size; i++) {
      Locality zone = Mesh.ZONES.get(i % Mesh.ZONES.size());
      Duration start = Duration.ofNanos(random.nextLong(LONG_POLL.toNanos()));
      time.after(start, () -> poll(zone, 0));
    }
    time.run(LONG_POLL.multipliedBy(2));
    log.resetCounters();
    for (int i = 0; i < CHANGES; i++) {
      publishedAt = time.now();
      log.append(Stream.CONFIGURATION, Bytes.copyOf(new byte[RECORD_BYTES]));
      time.run(CHANGE_INTERVAL);
    }
    return row();
  }

  private void poll(Locality zone, long from) {
    log.read(
        zone,
        Stream.CONFIGURATION,
        from,
        MAX_RECORDS,
        LONG_POLL,
        (first, next, records) -> {
          records.forEach(this::arrived);
          poll(zone, next);
        },
        () -> {});
  }

  private void arrived(LogRecord logged) {
    delays.add(Duration.between(publishedAt, time.now()));
  }

  private List<String> row() {
    delays.sort(Duration::compareTo);
    double seconds = CHANGES * CHANGE_INTERVAL.toNanos() / NANOS_PER_SECOND;
    return List.of(
        "baseline",
        Integer.toString(size),
        Measurement.quantile(delays, 0.5),
        Measurement.quantile(delays, 0.99),
        Measurement.quantile(delays, 1),
        Integer.toString(delays.size()),
        Measurement.number(log.bytes() / seconds / size),
        "-",
        Measurement.number(log.linkBytes() / seconds),
        Measurement.decimal(log.reads() / seconds / size),
        Measurement.decimal(log.reads() / seconds),
        Measurement.decimal(log.appends() / seconds),
        "-",
        "-");
  }
}
