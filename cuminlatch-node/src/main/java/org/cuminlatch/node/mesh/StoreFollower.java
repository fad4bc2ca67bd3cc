package org.cuminlatch.node.mesh;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.node.event.EventLog;
import org.cuminlatch.node.mesh.KeyedStore.Item;
import org.cuminlatch.node.mesh.KeyedStore.Page;
import org.cuminlatch.node.mesh.KeyedStore.Stream;

/**
 * Reads a stream from its newest records on and never stops; used on the control loop.
 *
 * <p>A node without the duty to follow the stream learns of it from those that have it, and reads
 * the newest records only now and then.
 */
final class StoreFollower {

  /** Time between two looks at whether the duty has come to this node. */
  private static final Duration DUTY_CHECK = Duration.ofMillis(250);

  /** Time between two reads of a node without the duty. */
  private static final Duration STAND_BY = Duration.ofSeconds(30);

  /** Failures in a row from which on the store counts as lost. */
  private static final int FAILURES_TO_LOST = 2;

  private static final Duration FIRST_BACKOFF = Duration.ofMillis(150);
  private static final Duration LONGEST_BACKOFF = Duration.ofMillis(1600);

  private final EventLoop loop;
  private final KeyedStore store;
  private final Following following;
  private final RandomGenerator random;
  private final EventLog log;
  private final ItemListener listener;
  private long next = -1;
  private int failures;
  private long readAtNanos;

  /**
   * How a stream is followed.
   *
   * @param longestWait time that the store holds a read without records; bounds how long a
   *     connection that has gone silent is trusted
   * @param pause time between the arrival of records and the next wait, in which changes gather
   * @param duty whether this node is one of those that follow the stream
   */
  record Following(Stream stream, Duration longestWait, Duration pause, BooleanSupplier duty) {}

  /** Takes records in their order; called on the control loop. */
  interface ItemListener {

    void item(Item item);

    /** A page of records has been handed over. */
    void caughtUp();

    /** The store can't be read any more, or can be read again. */
    void storeChanged(boolean lost);
  }

  StoreFollower(
      EventLoop loop,
      KeyedStore store,
      Following following,
      RandomGenerator random,
      EventLog log,
      ItemListener listener) {
    this.loop = loop;
    this.store = store;
    this.following = following;
    this.random = random;
    this.log = log;
    this.listener = listener;
  }

  void start() {
    if (next >= 0 && !following.duty().getAsBoolean()) {
      standBy();
      return;
    }
    Stream stream = following.stream();
    var reading =
        next < 0 ? store.newest(stream) : store.follow(stream, next, following.longestWait());
    reading.whenComplete((page, error) -> loop.execute(() -> ended(page, error)));
  }

  /** Waits for the duty; what the stream held until then is not read record by record. */
  private void standBy() {
    if (following.duty().getAsBoolean() || System.nanoTime() - readAtNanos > STAND_BY.toNanos()) {
      next = -1;
      start();
    } else {
      loop.schedule(this::standBy, DUTY_CHECK.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private void ended(Page page, Throwable error) {
    if (error != null) {
      failed(error);
      return;
    }
    if (failures > 0) {
      log.event("store-regained")
          .with("stream", following.stream().name())
          .with("failures", failures)
          .write();
      failures = 0;
      listener.storeChanged(false);
    }
    next = page.end();
    readAtNanos = System.nanoTime();
    page.items().forEach(this::deliver);
    listener.caughtUp();
    if (page.items().isEmpty()) {
      start();
    } else {
      schedule(following.pause());
    }
  }

  private void deliver(Item item) {
    try {
      listener.item(item);
    } catch (RuntimeException unusable) {
      log.event("record-unusable")
          .with("stream", following.stream().name())
          .with("key", item.key())
          .with("offset", item.offset())
          .with("reason", String.valueOf(unusable))
          .write();
    }
  }

  private void failed(Throwable error) {
    if (failures == 0) {
      log.event("store-lost")
          .with("stream", following.stream().name())
          .with("reason", String.valueOf(error))
          .write();
    }
    failures++;
    if (failures == FAILURES_TO_LOST) {
      listener.storeChanged(true);
    }
    if (error instanceof CuminlatchException known && known.code() == ErrorCode.LOG_TRUNCATED) {
      next = -1;
    }
    schedule(RetryDelay.after(failures, FIRST_BACKOFF, LONGEST_BACKOFF, random));
  }

  private void schedule(Duration delay) {
    loop.schedule(this::start, delay.toMillis(), TimeUnit.MILLISECONDS);
  }
}
