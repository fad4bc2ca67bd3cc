package org.cuminlatch.node.mesh;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.store.StoreEras;
import org.cuminlatch.core.store.StoredMark;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.mesh.KeyedStore.Stream;

/**
 * Learns from responses of the store and from other nodes that the store has returned from an older
 * copy, and spreads the writes that repeat what it may have lost; used on the control loop.
 */
final class StoreEraControl {

  /** Time over which the nodes spread their writes after a return, which all notice together. */
  private static final Duration WRITE_SPREAD = Duration.ofSeconds(1);

  private final EventLoop control;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final EventLog log;
  private final StoreEras eras = new StoreEras();
  private final List<Runnable> listeners = new ArrayList<>();
  private volatile long latest;
  private volatile long returns;
  private volatile long rewrites;

  StoreEraControl(EventLoop control, InstantSource clock, RandomGenerator random, EventLog log) {
    this.control = control;
    this.clock = clock;
    this.random = random;
    this.log = log;
  }

  /** Adds a listener, which is called when the store has returned from an older copy. */
  void listen(Runnable listener) {
    listeners.add(listener);
  }

  /** Handles the era that a response of the store has named. */
  void onStoreEra(long era) {
    if (eras.record(era, clock.instant())) {
      onReturned("store");
    }
    latest = eras.latest();
  }

  /** Handles the era that another node has named. */
  void onPeerEra(long era, String node) {
    if (eras.recordTold(era, clock.instant())) {
      onReturned(node);
    }
    latest = eras.latest();
  }

  private void onReturned(String source) {
    latest = eras.latest();
    returns++;
    log.event("store-returned").with("era", latest).with("source", source).write();
    listeners.forEach(this::notifyOf);
  }

  /** Runs a listener; the others are called also if it fails. */
  private void notifyOf(Runnable listener) {
    try {
      listener.run();
    } catch (RuntimeException error) {
      log.event("task-failed")
          .with("task", "return of the store")
          .with("reason", String.valueOf(error))
          .write();
    }
  }

  /** Records that another node can read the store and knows of no later era. */
  void recordContact() {
    eras.recordContact(clock.instant());
  }

  /** Returns the latest known era, {@link StoreEras#NO_ERA} if there is none; for all threads. */
  long latest() {
    return latest;
  }

  /** Returns the mark of a record that the store is known to hold by a response of an era. */
  StoredMark mark(OptionalLong era) {
    return new StoredMark(clock.instant(), era.orElse(StoreEras.NO_ERA));
  }

  /** Returns whether a response is of an earlier era than the known one. */
  boolean isOutdated(OptionalLong era) {
    return era.isPresent() && era.getAsLong() < eras.latest();
  }

  /**
   * Returns whether the store may have lost a record.
   *
   * @param copyAge maximum age of the copy, see {@link StoreEras}
   */
  boolean mayBeLost(StoredMark mark, Duration copyAge) {
    return eras.mayBeLost(mark, copyAge);
  }

  /** Returns whether the store has returned from an older copy within a period. */
  boolean hasReturnedWithin(Duration period) {
    return eras.hasChangedWithin(period, clock.instant());
  }

  /** Runs a task that writes a record again, at a random time within the spread. */
  void spread(Runnable task) {
    control.schedule(task, random.nextLong(WRITE_SPREAD.toMillis()), TimeUnit.MILLISECONDS);
  }

  /** Counts and logs that a record is written again. */
  void onRewrite(Stream stream, String key) {
    rewrites++;
    log.event("record-written-again").with("stream", stream.name()).with("key", key).write();
  }

  /** Adds the metrics of the store's era to a registry. */
  void addGauges(MetricRegistry registry) {
    registry.gauge("store_era", () -> (Gauge<Number>) () -> latest);
    registry.gauge("store_returns", () -> (Gauge<Number>) () -> returns);
    registry.gauge("store_records_written_again", () -> (Gauge<Number>) () -> rewrites);
  }
}
