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

/** Baseline in which every node reads the log directly with long polls. */
final class LogPollingBaseline {

  private static final Duration LONG_POLL_TIMEOUT = Duration.ofSeconds(20);
  private static final Duration CHANGE_INTERVAL = Duration.ofSeconds(86);
  private static final int MAX_RECORDS_PER_READ = 256;
  private static final int PUBLISHED_CHANGES = 3;
  private static final int RECORD_BYTES = 60;
  private static final double NANOS_PER_SECOND = 1e9;

  private final VirtualTime time = new VirtualTime();
  private final MeshLog log = new MeshLog(time, MeshSimulation.ZONES.get(0));
  private final List<Duration> propagationDelays = new ArrayList<>();
  private final int size;
  private final SplittableRandom random;
  private Instant publishedAt;

  LogPollingBaseline(int size, long seed) {
    this.size = size;
    this.random = new SplittableRandom(seed);
  }

  List<String> run() {
    for (int i = 0; i < size; i++) {
      Locality zone = MeshSimulation.ZONES.get(i % MeshSimulation.ZONES.size());
      Duration start = Duration.ofNanos(random.nextLong(LONG_POLL_TIMEOUT.toNanos()));
      time.after(start, () -> poll(zone, 0));
    }
    time.run(LONG_POLL_TIMEOUT.multipliedBy(2));
    log.resetCounters();
    for (int i = 0; i < PUBLISHED_CHANGES; i++) {
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
        MAX_RECORDS_PER_READ,
        LONG_POLL_TIMEOUT,
        (first, next, records) -> {
          records.forEach(this::recordDelay);
          poll(zone, next);
        },
        () -> {});
  }

  private void recordDelay(LogRecord record) {
    propagationDelays.add(Duration.between(publishedAt, time.now()));
  }

  private List<String> row() {
    propagationDelays.sort(Duration::compareTo);
    double seconds = PUBLISHED_CHANGES * CHANGE_INTERVAL.toNanos() / NANOS_PER_SECOND;
    return List.of(
        "baseline",
        Integer.toString(size),
        Measurement.quantile(propagationDelays, 0.5),
        Measurement.quantile(propagationDelays, 0.99),
        Measurement.quantile(propagationDelays, 1),
        Integer.toString(propagationDelays.size()),
        Measurement.formatInteger(log.bytes() / seconds / size),
        "-",
        Measurement.formatInteger(log.crossRegionBytes() / seconds),
        Measurement.formatDecimal(log.reads() / seconds / size),
        Measurement.formatDecimal(log.reads() / seconds),
        Measurement.formatDecimal(log.appends() / seconds),
        "-",
        "-");
  }
}
